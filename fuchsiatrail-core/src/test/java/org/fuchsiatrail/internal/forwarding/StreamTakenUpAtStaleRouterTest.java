package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that join software versions because one router was cut off from the store and its peers, or
 * suspended, while engines of newer versions joined.
 */
class StreamTakenUpAtStaleRouterTest {

    private static final int HISTORIES = 3;
    private static final long WARM_UP_MILLIS = 31_000;
    private static final long CALM_MILLIS = 2_000;
    private static final long AFTERMATH_MILLIS = 6_000;

    /** The time after the disturbance from which the router counts as undisturbed, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** The time before its end from which requests reach a suspended router, in milliseconds. */
    private static final long QUEUED_MILLIS = 800;

    /** The share of the requests that the disturbed router gets. */
    private static final double SHARE_OF_STALE_ROUTER = 0.3;

    private static final double SHARE_OF_BROKEN_STREAMS = 0.15;
    private static final long LONGEST_PAUSE_OF_CALLER_MILLIS = 2_500;

    /** The least share of resumed streams that goes on, in relation to the share of new streams that begins. */
    private static final double SHARE_OF_NEW_STREAMS = 0.9;

    private static final int COMPARED_STREAMS = 50;
    private static final double STEPS_A_SECOND = 1_000.0 / EngineFleet.STEP_MILLIS;

    /** How the router is out of step. */
    private enum Disturbance {
        CUT_OFF,
        CUT_OFF_FROM_STORE,
        CUT_OFF_FROM_PEERS,
        SUSPENDED,
        SUSPENDED_WITH_STOPPED_CLOCK
    }

    @ParameterizedTest
    @CsvSource({
        "3,6,60,CUT_OFF,300,0,0",
        "7,9,60,CUT_OFF,6000,300,3000",
        "3,6,60,CUT_OFF,20000,100,8000",
        "7,9,60,CUT_OFF,20000,300,18700",
        "7,9,60,CUT_OFF,36000,300,30000",
        "7,9,60,CUT_OFF_FROM_STORE,20000,0,9000",
        "7,9,60,CUT_OFF_FROM_PEERS,20000,0,9000",
        "3,6,60,SUSPENDED,20000,100,18700",
        "7,9,60,SUSPENDED,20000,0,18700",
        "3,6,60,SUSPENDED_WITH_STOPPED_CLOCK,20000,100,18700"
    })
    void should_go_on_only_at_the_version_that_began_a_stream(
            int routers,
            int engines,
            double rate,
            Disturbance disturbance,
            long millis,
            long firstRelease,
            long secondRelease) {
        for (long seed = 1; seed <= HISTORIES; seed++) {
            History history = new History(seed, routers, engines, rate);
            history.run(disturbance, millis, firstRelease, secondRelease);
            history.assertStreamsKeepTheirVersion();
        }
    }

    private static final class History {
        private final EngineFleet fleet;
        private final ForwardingFixture stale;
        private final double requestsPerSecond;
        private final List<FleetRequest> begun = new ArrayList<>();
        private final List<FleetRequest> begunInTouch = new ArrayList<>();
        private final List<FleetRequest> begunAtStale = new ArrayList<>();
        private final List<FleetRequest> open = new ArrayList<>();
        private final List<Resumption> planned = new ArrayList<>();
        private final List<FleetRequest> resumedInTouch = new ArrayList<>();
        private final List<FleetRequest> resumedAtStale = new ArrayList<>();
        private final List<FleetRequest> resumedFromStale = new ArrayList<>();
        private long disturbedFromMillis = Long.MAX_VALUE;
        private long disturbedUntilMillis = Long.MAX_VALUE;
        private boolean suspended;
        private int lastRequestPart;

        private record Resumption(FleetRequest broken, long atMillis) {}

        History(long seed, int routers, int engines, double rate) {
            fleet = new EngineFleet(seed, routers, engines);
            stale = fleet.routers.getFirst();
            requestsPerSecond = rate;
        }

        void run(Disturbance disturbance, long millis, long firstRelease, long secondRelease) {
            long warmUpEndMillis = fleet.now() + WARM_UP_MILLIS;
            while (fleet.now() < warmUpEndMillis) {
                fleet.advanceTime();
            }
            sendFor(CALM_MILLIS);
            begin(disturbance, millis);
            int engines = (int) fleet.activeEngines("v1");
            sendFor(firstRelease);
            release(engines / 3, "v2");
            if (secondRelease > firstRelease) {
                sendFor(secondRelease - firstRelease);
                release(engines / 3, "v3");
            }
            sendFor(disturbedUntilMillis - fleet.now());
            stale.storeAnswers = true;
            suspended = false;
            fleet.store.resumeMember(stale);
            sendFor(AFTERMATH_MILLIS);
        }

        private void release(int count, String softwareVersion) {
            for (int number = 0; number < count; number++) {
                fleet.replaceOldestEngine(softwareVersion);
            }
        }

        private void begin(Disturbance disturbance, long millis) {
            disturbedFromMillis = fleet.now();
            disturbedUntilMillis = fleet.now() + millis;
            stale.storeAnswers = disturbance != Disturbance.CUT_OFF && disturbance != Disturbance.CUT_OFF_FROM_STORE;
            if (disturbance == Disturbance.CUT_OFF || disturbance == Disturbance.CUT_OFF_FROM_PEERS) {
                fleet.cutOff(stale, millis);
            }
            if (disturbance == Disturbance.SUSPENDED || disturbance == Disturbance.SUSPENDED_WITH_STOPPED_CLOCK) {
                suspended = true;
                fleet.suspend(stale, millis, disturbance == Disturbance.SUSPENDED);
                open.stream()
                        .filter(request -> request.router == stale && !request.finished)
                        .forEach(this::breakOff);
            }
            if (disturbance != Disturbance.CUT_OFF_FROM_PEERS) {
                fleet.store.expireMember(stale, () -> disturbedUntilMillis - fleet.now());
            }
        }

        private void sendFor(long millis) {
            long endMillis = fleet.now() + millis;
            while (fleet.now() < endMillis) {
                double mean = requestsPerSecond / STEPS_A_SECOND;
                int count = (int) mean + (fleet.random.nextDouble() < mean - (int) mean ? 1 : 0);
                for (int number = 0; number < count; number++) {
                    send();
                }
                breakStreams();
                resumeBrokenStreams();
                fleet.advanceTime();
            }
        }

        private ForwardingFixture router() {
            boolean reachable = !suspended || fleet.now() >= disturbedUntilMillis - QUEUED_MILLIS;
            if (reachable && fleet.random.nextDouble() < SHARE_OF_STALE_ROUTER) {
                return stale;
            }
            return fleet.routers.get(1 + fleet.random.nextInt(fleet.routers.size() - 1));
        }

        private boolean inTouch(ForwardingFixture router) {
            return router != stale
                    || fleet.now() < disturbedFromMillis
                    || fleet.now() > disturbedUntilMillis + CONTACT_MILLIS;
        }

        private void send() {
            int session = fleet.random.nextInt(200);
            ForwardingFixture router = router();
            FleetRequest request = fleet.send(
                    router,
                    new ForwardedCall.PromptPart("course-" + session % 2, 100),
                    new ForwardedCall.PromptPart("session-" + session, 100),
                    new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600));
            begun.add(request);
            open.add(request);
            (inTouch(router) ? begunInTouch : begunAtStale).add(request);
        }

        private void breakStreams() {
            for (FleetRequest request : List.copyOf(open)) {
                if (request.finished || request.refusal != null) {
                    open.remove(request);
                } else if (request.broken || (request.started && fleet.random.nextDouble() < SHARE_OF_BROKEN_STREAMS)) {
                    open.remove(request);
                    breakOff(request);
                }
            }
        }

        private void breakOff(FleetRequest request) {
            if (!request.broken) {
                fleet.disconnect(request);
            }
            if (!request.stream.firstAttemptId.isEmpty()) {
                long pauseMillis = fleet.random.nextLong(LONGEST_PAUSE_OF_CALLER_MILLIS);
                planned.add(new Resumption(request, fleet.now() + pauseMillis));
            }
        }

        private void resumeBrokenStreams() {
            for (Resumption resumption : List.copyOf(planned)) {
                if (fleet.now() >= resumption.atMillis()) {
                    planned.remove(resumption);
                    resume(resumption.broken());
                }
            }
        }

        private void resume(FleetRequest broken) {
            ForwardingFixture router = router();
            FleetRequest resumed = fleet.resume(broken, router);
            open.add(resumed);
            boolean served =
                    broken.stream.softwareVersions.stream().allMatch(version -> fleet.activeEngines(version) >= 2);
            if (!served) {
                return;
            }
            if (!inTouch(router)) {
                resumedAtStale.add(resumed);
            } else if (begunAtStale.stream().anyMatch(request -> request.stream == broken.stream)) {
                resumedFromStale.add(resumed);
            } else {
                resumedInTouch.add(resumed);
            }
        }

        private static double shareStarted(List<FleetRequest> requests) {
            return requests.stream().filter(request -> request.started).count() / (double) requests.size();
        }

        private static long joined(List<FleetRequest> requests) {
            return requests.stream()
                    .filter(request -> request.stream.softwareVersions.size() > 1)
                    .count();
        }

        private String summary() {
            return String.format(
                    "%d joined, %d of them begun out of step; begun %.2f of %d in step, %.2f of %d out of step; resumed"
                            + " %.2f of %d in step, %.2f of %d out of step, %.2f of %d begun out of step",
                    joined(begun),
                    joined(begunAtStale),
                    shareStarted(begunInTouch),
                    begunInTouch.size(),
                    shareStarted(begunAtStale),
                    begunAtStale.size(),
                    shareStarted(resumedInTouch),
                    resumedInTouch.size(),
                    shareStarted(resumedAtStale),
                    resumedAtStale.size(),
                    shareStarted(resumedFromStale),
                    resumedFromStale.size());
        }

        void assertStreamsKeepTheirVersion() {
            assertThat(joined(begun)).as(summary()).isZero();
            assertThat(shareStarted(begunInTouch)).as(summary()).isGreaterThan(0.9);
            assertThat(resumedInTouch).hasSizeGreaterThan(COMPARED_STREAMS);
            assertThat(shareStarted(resumedInTouch))
                    .as(summary())
                    .isGreaterThanOrEqualTo(SHARE_OF_NEW_STREAMS * shareStarted(begunInTouch));
        }
    }
}
