package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that hold events from engines of two software versions. */
class StreamJoinsSoftwareVersionsTest {

    private static final int JOINED_STREAMS_ALLOWED = 2;

    /** The least number of resumed streams for a comparison, and the least share of them that goes on. */
    private static final int COMPARED_STREAMS = 12;

    private static final double SHARE_OF_NEW_STREAMS = 0.5;

    /** The time after a restart from which a router counts as undisturbed, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long CALM_MILLIS = 4_000;
    private static final long DURATION_MILLIS = 16_000;
    private static final long DISTURBANCE_INTERVAL_MILLIS = 1_000;
    private static final double STEPS_A_SECOND = 1_000.0 / EngineFleet.STEP_MILLIS;

    private final List<FleetRequest> begun = new ArrayList<>();
    private final List<FleetRequest> resumed = new ArrayList<>();
    private final List<FleetRequest> comparable = new ArrayList<>();
    private EngineFleet fleet;
    private long startMillis;
    private int lastRequestPart;

    private void start(int routers, int engines) {
        fleet = new EngineFleet(5, routers, engines / 2);
        for (int number = engines / 2; number < engines; number++) {
            fleet.startEngine("v2");
        }
        startMillis = fleet.now();
    }

    private void sendUntil(long endMillis, double requestsPerSecond) {
        while (fleet.now() < startMillis + endMillis) {
            double mean = requestsPerSecond / STEPS_A_SECOND;
            int count = (int) mean + (fleet.random.nextDouble() < mean - (int) mean ? 1 : 0);
            for (int number = 0; number < count; number++) {
                int session = fleet.random.nextInt(200);
                begun.add(fleet.send(
                        new ForwardedCall.PromptPart("course-" + session % 2, 100),
                        new ForwardedCall.PromptPart("session-" + session, 100),
                        new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600)));
            }
            resumeBrokenStreams();
            fleet.advanceTime();
        }
    }

    private void resumeBrokenStreams() {
        List<FleetRequest> broken = new ArrayList<>(begun);
        broken.addAll(resumed);
        for (FleetRequest request : broken) {
            if (request.broken && !request.stream.firstAttemptId.isEmpty()) {
                request.broken = false;
                FleetRequest resumption = fleet.resume(request);
                resumed.add(resumption);
                boolean inTouch = fleet.routers.contains(resumption.router)
                        && fleet.uptimeMillis(resumption.router) > CONTACT_MILLIS;
                boolean serving =
                        request.stream.softwareVersions.stream().allMatch(version -> fleet.activeEngines(version) >= 2);
                if (inTouch && serving) {
                    comparable.add(resumption);
                }
            }
        }
    }

    private long joinedStreams() {
        return begun.stream()
                .filter(request -> request.stream.softwareVersions.size() > 1)
                .count();
    }

    private static double shareStarted(List<FleetRequest> requests) {
        return requests.stream().filter(request -> request.started).count() / (double) requests.size();
    }

    private void assertStreamsKeepTheirVersion() {
        assertThat(joinedStreams()).as("streams of two software versions").isLessThanOrEqualTo(JOINED_STREAMS_ALLOWED);
        if (comparable.size() >= COMPARED_STREAMS) {
            assertThat(shareStarted(comparable))
                    .as("share of %d resumed streams that go on", comparable.size())
                    .isGreaterThanOrEqualTo(SHARE_OF_NEW_STREAMS * shareStarted(begun));
        }
    }

    @ParameterizedTest
    @CsvSource({"3,6,40", "7,6,60", "70,42,200", "340,60,300"})
    void should_go_on_at_the_first_version_when_engines_end(int routers, int engines, double requestsPerSecond) {
        start(routers, engines);
        sendUntil(CALM_MILLIS, requestsPerSecond);
        for (long millis = CALM_MILLIS; millis < DURATION_MILLIS; millis += DISTURBANCE_INTERVAL_MILLIS) {
            fleet.endRandomEngine();
            sendUntil(millis + DISTURBANCE_INTERVAL_MILLIS, requestsPerSecond);
        }
        assertStreamsKeepTheirVersion();
        assertThat(shareStarted(begun)).as("streams that begin").isGreaterThan(0.9);
    }

    @ParameterizedTest
    @CsvSource({"3,6,60", "7,6,60", "70,42,400", "340,60,400"})
    void should_go_on_at_the_first_version_when_callers_resume_at_another_router(
            int routers, int engines, double requestsPerSecond) {
        start(routers, engines);
        sendUntil(CALM_MILLIS, requestsPerSecond);
        for (long millis = CALM_MILLIS; millis < DURATION_MILLIS; millis += DISTURBANCE_INTERVAL_MILLIS) {
            for (int number = 0; number < Math.max(1, routers / 20); number++) {
                fleet.restart(fleet.random.nextInt(routers));
            }
            sendUntil(millis + DISTURBANCE_INTERVAL_MILLIS, requestsPerSecond);
        }
        assertStreamsKeepTheirVersion();
        assertThat(comparable).as("resumed streams to compare").hasSizeGreaterThan(COMPARED_STREAMS);
        assertThat(shareStarted(begun)).as("streams that begin").isGreaterThan(0.9);
    }
}
