package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that begin on replaced weights long after newer ones were set, because routers were suspended
 * and take the time for shorter than it was.
 */
class RequestBegunOnReplacedWeightsTest {

    /** How long after newer weights were set a request may begin on replaced ones, in milliseconds. */
    private static final long ALLOWED_MILLIS = 8_000;

    /** The time after the end of a suspension from which requests of a router count, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long CALM_MILLIS = 4_000;
    private static final long SUSPENSION_MILLIS = 4_000;
    /** The time between the start of a suspension and newer weights, in either order, in milliseconds. */
    private static final long GAP_MILLIS = 300;

    /** When the first engines have newer weights, as after the loss of two lease holders, in milliseconds. */
    private static final long FIRST_SWITCH_MILLIS = 10_000;

    private static final long SWITCH_INTERVAL_MILLIS = 700;
    private static final double SWITCHED_AT_ONCE = 2.0 / 7;
    private static final long DURATION_MILLIS = 17_000;
    private static final double STEPS_A_SECOND = 1_000.0 / EngineFleet.STEP_MILLIS;

    private final List<FleetRequest> requests = new ArrayList<>();
    private EngineFleet fleet;
    private int engineCount;
    private double requestsPerSecond;
    private int lastRequestPart;
    private long setAtMillis;

    /** When a suspension begins, and whether the clock of the router stops meanwhile. */
    enum Suspension {
        BEFORE_NEWER_WEIGHTS(false),
        BEFORE_NEWER_WEIGHTS_WITH_STOPPED_CLOCK(true),
        AFTER_NEWER_WEIGHTS_WITH_STOPPED_CLOCK(true);

        private final boolean stopsClock;

        Suspension(boolean stopsClock) {
            this.stopsClock = stopsClock;
        }
    }

    private void start(int routers, int engines, double requestRate) {
        fleet = new EngineFleet(5, routers, engines);
        engineCount = engines;
        requestsPerSecond = requestRate;
        sendFor(CALM_MILLIS);
    }

    private void sendFor(long millis) {
        long endMillis = fleet.now() + millis;
        while (fleet.now() < endMillis) {
            double mean = requestsPerSecond / STEPS_A_SECOND;
            int count = (int) mean + (fleet.random.nextDouble() < mean - (int) mean ? 1 : 0);
            for (int number = 0; number < count; number++) {
                int session = fleet.random.nextInt(200);
                requests.add(fleet.send(
                        new ForwardedCall.PromptPart("course-" + session % 2, 100),
                        new ForwardedCall.PromptPart("session-" + session, 100),
                        new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600)));
            }
            fleet.advanceTime();
        }
    }

    private void setTargetWeights() {
        fleet.setTargetWeights(2);
        setAtMillis = fleet.now();
    }

    private void suspend(int count, Suspension suspension) {
        fleet.routers
                .subList(fleet.routers.size() - count, fleet.routers.size())
                .forEach(router -> fleet.suspend(router, SUSPENSION_MILLIS, !suspension.stopsClock));
    }

    private void suspendWhileWeightsAreSet(int suspended, Suspension suspension) {
        if (suspension == Suspension.AFTER_NEWER_WEIGHTS_WITH_STOPPED_CLOCK) {
            setTargetWeights();
            sendFor(GAP_MILLIS);
            suspend(suspended, suspension);
        } else {
            suspend(suspended, suspension);
            sendFor(GAP_MILLIS);
            setTargetWeights();
        }
    }

    private void switchEngines() {
        sendFor(setAtMillis + FIRST_SWITCH_MILLIS - fleet.now());
        while (fleet.now() < setAtMillis + DURATION_MILLIS) {
            fleet.switchEngines((int) Math.ceil(engineCount * SWITCHED_AT_ONCE));
            sendFor(SWITCH_INTERVAL_MILLIS);
        }
    }

    private long beginningsTooLate() {
        return fleet.beginnings().stream()
                .filter(beginning -> beginning.weightsVersion() < 2)
                .filter(beginning -> beginning.atMillis() > setAtMillis + ALLOWED_MILLIS)
                .filter(beginning ->
                        beginning.atMillis() > fleet.suspendedUntilMillis(beginning.router()) + CONTACT_MILLIS)
                .count();
    }

    private double shareStarted(boolean suspended, long fromMillis, long toMillis) {
        List<FleetRequest> sent = requests.stream()
                .filter(request ->
                        fleet.suspendedUntilMillis(request.router.self().id()) > 0 == suspended)
                .filter(request -> request.sentAtMillis >= setAtMillis + fromMillis)
                .filter(request -> request.sentAtMillis < setAtMillis + toMillis)
                .toList();
        return sent.stream().filter(request -> request.started).count() / (double) sent.size();
    }

    @ParameterizedTest
    @CsvSource({
        "3,6,40,1,BEFORE_NEWER_WEIGHTS",
        "3,6,40,1,BEFORE_NEWER_WEIGHTS_WITH_STOPPED_CLOCK",
        "3,6,40,1,AFTER_NEWER_WEIGHTS_WITH_STOPPED_CLOCK",
        "7,6,60,2,BEFORE_NEWER_WEIGHTS",
        "7,6,60,2,BEFORE_NEWER_WEIGHTS_WITH_STOPPED_CLOCK",
        "7,6,60,2,AFTER_NEWER_WEIGHTS_WITH_STOPPED_CLOCK",
        "70,42,200,20,BEFORE_NEWER_WEIGHTS",
        "70,42,200,20,AFTER_NEWER_WEIGHTS_WITH_STOPPED_CLOCK",
        "340,60,300,100,BEFORE_NEWER_WEIGHTS"
    })
    void should_begin_no_request_on_replaced_weights_at_routers_that_were_suspended(
            int routers, int engines, double requestRate, int suspended, Suspension suspension) {
        start(routers, engines, requestRate);
        suspendWhileWeightsAreSet(suspended, suspension);
        switchEngines();
        assertThat(beginningsTooLate()).as("requests begun on replaced weights").isZero();
        assertThat(shareStarted(true, SUSPENSION_MILLIS + GAP_MILLIS, DURATION_MILLIS - 1_000))
                .as("share of requests begun that suspended routers received afterwards")
                .isGreaterThanOrEqualTo(
                        2.0 / 3 * shareStarted(false, SUSPENSION_MILLIS + GAP_MILLIS, DURATION_MILLIS - 1_000));
        assertThat(shareStarted(true, DURATION_MILLIS - 3_000, DURATION_MILLIS - 1_000))
                .as("share of requests begun once all engines have newer weights")
                .isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @CsvSource({
        "3,6,40,BEFORE_NEWER_WEIGHTS",
        "3,6,40,BEFORE_NEWER_WEIGHTS_WITH_STOPPED_CLOCK",
        "3,6,40,AFTER_NEWER_WEIGHTS_WITH_STOPPED_CLOCK",
        "7,6,60,BEFORE_NEWER_WEIGHTS",
        "70,42,200,BEFORE_NEWER_WEIGHTS"
    })
    void should_begin_no_request_on_replaced_weights_when_all_routers_were_suspended(
            int routers, int engines, double requestRate, Suspension suspension) {
        start(routers, engines, requestRate);
        suspendWhileWeightsAreSet(routers, suspension);
        switchEngines();
        assertThat(beginningsTooLate()).as("requests begun on replaced weights").isZero();
        assertThat(shareStarted(true, DURATION_MILLIS - 3_000, DURATION_MILLIS - 1_000))
                .as("share of requests begun once all engines have newer weights")
                .isGreaterThanOrEqualTo(0.95);
    }
}
