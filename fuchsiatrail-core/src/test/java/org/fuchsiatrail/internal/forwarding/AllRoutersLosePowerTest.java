package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that join two software versions, or that nobody resumes, after all routers lost power at once:
 * what routers knew of the streams they passed on is gone, and their callers resume them when the routers are back.
 */
class AllRoutersLosePowerTest {

    /** The time for which routers run before the traffic, in milliseconds. */
    private static final long WARM_UP_MILLIS = 20_000;

    private static final long CALM_MILLIS = 4_000;

    /** How long streams are resumed after the routers are back, in milliseconds. */
    private static final long RESUMPTION_MILLIS = 3_000;

    /** The least share of resumed streams that goes on, in relation to the share of new streams that begins. */
    private static final double SHARE_OF_NEW_STREAMS = 0.9;

    private static final double STEPS_A_SECOND = 1_000.0 / EngineFleet.STEP_MILLIS;

    private final List<FleetRequest> begun = new ArrayList<>();
    private final List<FleetRequest> begunAfterLoss = new ArrayList<>();
    private final List<FleetRequest> resumed = new ArrayList<>();
    private EngineFleet fleet;
    private double requestsPerSecond;
    private int lastRequestPart;

    private void start(int routers, int engines, int newEngines, double rate) {
        fleet = new EngineFleet(11, routers, engines);
        requestsPerSecond = rate;
        for (int number = 0; number < newEngines; number++) {
            fleet.startEngine("v2");
        }
        long trafficFromMillis = fleet.now() + WARM_UP_MILLIS;
        while (fleet.now() < trafficFromMillis) {
            fleet.advanceTime();
        }
    }

    private void sendFor(long millis) {
        long endMillis = fleet.now() + millis;
        while (fleet.now() < endMillis) {
            double mean = requestsPerSecond / STEPS_A_SECOND;
            int count = (int) mean + (fleet.random.nextDouble() < mean - (int) mean ? 1 : 0);
            for (int number = 0; number < count; number++) {
                begun.add(send());
            }
            fleet.advanceTime();
        }
    }

    private FleetRequest send() {
        int session = fleet.random.nextInt(200);
        return fleet.send(
                new ForwardedCall.PromptPart("course-" + session % 2, 100),
                new ForwardedCall.PromptPart("session-" + session, 100),
                new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600));
    }

    /** Ends all routers at once, starts them again after a while and lets the callers of broken streams resume them. */
    private void losePower(long millis) {
        fleet.losePower(millis);
        long endMillis = fleet.now() + millis;
        while (fleet.now() < endMillis) {
            fleet.advanceTime();
        }
        List<FleetRequest> broken = new ArrayList<>(begun);
        broken.removeIf(request -> !request.broken || request.stream.firstAttemptId.isEmpty());
        endMillis = fleet.now() + RESUMPTION_MILLIS;
        while (fleet.now() < endMillis) {
            for (int number = 0; number < Math.max(1, broken.size() / 20) && resumed.size() < broken.size(); number++) {
                resumed.add(fleet.resume(broken.get(resumed.size())));
            }
            begunAfterLoss.add(send());
            fleet.advanceTime();
        }
        begun.addAll(begunAfterLoss);
    }

    private void assertNoStreamJoinsVersions() {
        assertThat(begun.stream().filter(request -> request.stream.softwareVersions.size() > 1))
                .as("streams of two software versions")
                .isEmpty();
    }

    /** Streams whose version no engine has any longer cannot go on. */
    private void assertStreamsGoOn() {
        List<FleetRequest> served = resumed.stream()
                .filter(request ->
                        request.stream.softwareVersions.stream().allMatch(version -> fleet.activeEngines(version) >= 2))
                .toList();
        assertThat(served).as("resumed streams").hasSizeGreaterThan(10);
        assertThat(shareStarted(served))
                .as("share of %d resumed streams that go on", served.size())
                .isGreaterThanOrEqualTo(SHARE_OF_NEW_STREAMS * shareStarted(begunAfterLoss));
        assertThat(shareStarted(begun)).as("streams that begin").isGreaterThan(0.9);
    }

    private static double shareStarted(List<FleetRequest> requests) {
        return requests.stream().filter(request -> request.started).count() / (double) requests.size();
    }

    @ParameterizedTest
    @CsvSource({"3,6,60,2200", "7,6,60,1000", "7,6,60,2200", "7,6,60,2600", "70,42,300,2600", "340,60,400,1000"})
    void should_go_on_at_the_first_version_while_two_versions_serve(
            int routers, int engines, double rate, long millis) {
        start(routers, engines / 2, engines / 2, rate);
        sendFor(CALM_MILLIS);
        losePower(millis);
        assertNoStreamJoinsVersions();
        assertStreamsGoOn();
    }

    @ParameterizedTest
    @CsvSource({"3,6,60,1000", "7,6,60,2200", "70,42,300,2600", "340,60,400,1000"})
    void should_go_on_at_the_newer_version_just_after_the_older_one_has_left(
            int routers, int engines, double rate, long millis) {
        start(routers, engines, 0, rate);
        sendFor(CALM_MILLIS);
        for (int number = 0; number < engines; number++) {
            fleet.replaceOldestEngine("v2");
        }
        sendFor(2_300);
        losePower(millis);
        assertNoStreamJoinsVersions();
        assertStreamsGoOn();
    }

    @ParameterizedTest
    @CsvSource({"3,6,60", "7,6,60", "70,42,300", "340,60,400"})
    void should_join_no_versions_while_engines_are_replaced(int routers, int engines, double rate) {
        start(routers, engines, 0, rate);
        for (int number = 0; number < engines; number++) {
            fleet.replaceOldestEngine("v2");
            if (number % Math.max(1, engines / 6) == 0) {
                sendFor(400);
            }
            if (number == engines / 2) {
                losePower(1_000);
            }
        }
        sendFor(1_000);
        assertNoStreamJoinsVersions();
        assertThat(resumed).as("resumed streams").hasSizeGreaterThan(10);
    }
}
