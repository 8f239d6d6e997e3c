package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an engine that gets more requests than the limit that it has named to some of the routers. */
class RequestLimitExceededTest {

    /** The time after an engine first named its limit from which requests count, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long WINDOW_MILLIS = 4_000;
    private static final double ALLOWED_FACTOR = 1.5;
    private static final int ALLOWED_EXTRA = 5;
    private static final long CALM_MILLIS = 4_000;
    private static final long DURATION_MILLIS = 20_000;
    private static final double STEPS_A_SECOND = 1_000.0 / EngineFleet.STEP_MILLIS;

    private final List<FleetRequest> requests = new ArrayList<>();
    private EngineFleet fleet;
    private int sessions;
    private int lastRequestPart;
    private long startMillis;

    private void start(int routers, int engines) {
        fleet = new EngineFleet(11, routers, engines);
        sessions = engines * 6;
        startMillis = fleet.now();
    }

    private void sendUntil(long endMillis, double requestsPerSecond) {
        while (fleet.now() < startMillis + endMillis) {
            double mean = requestsPerSecond / STEPS_A_SECOND;
            int count = (int) mean + (fleet.random.nextDouble() < mean - (int) mean ? 1 : 0);
            for (int number = 0; number < count; number++) {
                int session = fleet.random.nextInt(sessions);
                requests.add(fleet.send(
                        new ForwardedCall.PromptPart("course-" + session % 2, 100),
                        new ForwardedCall.PromptPart("session-" + session, 100),
                        new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600)));
            }
            fleet.advanceTime();
        }
    }

    private void assertWithinLimit(Set<String> limited, double limit, long fromMillis) {
        for (String engine : limited) {
            long[] arrivals = fleet.arrivals().stream()
                    .filter(arrival ->
                            arrival.engine().equals(engine) && arrival.atMillis() >= startMillis + fromMillis)
                    .mapToLong(EngineFleet.Arrival::atMillis)
                    .toArray();
            int most = 0;
            int first = 0;
            for (int last = 0; last < arrivals.length; last++) {
                while (arrivals[last] - arrivals[first] >= WINDOW_MILLIS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            assertThat((double) most)
                    .as("requests in 4 s at %s", engine)
                    .isLessThanOrEqualTo(ALLOWED_FACTOR * limit * WINDOW_MILLIS / 1_000 + ALLOWED_EXTRA);
        }
    }

    private double shareStarted(long fromMillis, long toMillis) {
        List<FleetRequest> sent = requests.stream()
                .filter(request -> request.sentAtMillis >= startMillis + fromMillis
                        && request.sentAtMillis < startMillis + toMillis)
                .toList();
        return sent.stream().filter(request -> request.startedFirst).count() / (double) sent.size();
    }

    @ParameterizedTest
    @CsvSource({"3,6,30,1.7", "7,6,40,1.7", "7,6,120,8.5", "70,42,400,1.9", "340,60,300,1.7", "340,60,300,0"})
    void should_keep_to_the_limit_of_all_routers_together(
            int routers, int engines, double requestsPerSecond, double limit) {
        start(routers, engines);
        sendUntil(CALM_MILLIS, requestsPerSecond);
        Set<String> limited = fleet.limitEngines(engines / 3, OptionalDouble.of(limit));
        sendUntil(DURATION_MILLIS, requestsPerSecond);
        assertWithinLimit(limited, limit, CALM_MILLIS + CONTACT_MILLIS);
        assertThat(shareStarted(CALM_MILLIS + CONTACT_MILLIS, DURATION_MILLIS - 1_000))
                .as("requests begun at other engines")
                .isGreaterThan(shareStarted(1_000, CALM_MILLIS) / 2);
    }

    @ParameterizedTest
    @CsvSource({"3,6,60,2.5", "7,6,60,2.5", "70,42,400,2.5"})
    void should_use_at_least_half_of_the_limits_while_all_engines_name_one(
            int routers, int engines, double requestsPerSecond, double limit) {
        start(routers, engines);
        sendUntil(CALM_MILLIS, requestsPerSecond);
        Set<String> limited = fleet.limitEngines(engines, OptionalDouble.of(limit));
        sendUntil(DURATION_MILLIS, requestsPerSecond);
        assertWithinLimit(limited, limit, CALM_MILLIS + CONTACT_MILLIS);
        double seconds = (DURATION_MILLIS - CALM_MILLIS - CONTACT_MILLIS) / 1_000.0;
        long arrivals = fleet.arrivals().stream()
                .filter(arrival -> arrival.atMillis() >= startMillis + CALM_MILLIS + CONTACT_MILLIS)
                .count();
        assertThat(arrivals / (seconds * limit * engines))
                .as("used share of the limits")
                .isGreaterThanOrEqualTo(0.5);
    }

    @Test
    void should_refuse_at_once_with_a_time_to_come_back_while_all_engines_are_at_their_limits() {
        start(3, 2);
        sendUntil(CALM_MILLIS, 20);
        fleet.limitEngines(2, OptionalDouble.of(0.5));
        sendUntil(CALM_MILLIS + CONTACT_MILLIS, 20);
        FleetRequest refused = fleet.send(new ForwardedCall.PromptPart("alone", 600));
        if (refused.sends > 0) {
            refused = fleet.send(new ForwardedCall.PromptPart("alone", 600));
        }
        assertThat(refused.refusal).isEqualTo(ResultCode.OVERLOADED);
        assertThat(refused.retryAfterMillis).isBetween(100L, 1_000L);
    }

    @Test
    void should_return_to_an_engine_that_names_no_limit_any_more() {
        start(7, 6);
        sendUntil(CALM_MILLIS, 60);
        Set<String> limited = fleet.limitEngines(2, OptionalDouble.of(1));
        sendUntil(10_000, 60);
        fleet.limitEngines(2, OptionalDouble.empty());
        sendUntil(DURATION_MILLIS, 60);
        long arrivals = fleet.arrivals().stream()
                .filter(arrival -> limited.contains(arrival.engine()))
                .filter(arrival -> arrival.atMillis() >= startMillis + 16_000)
                .count();
        assertThat(arrivals).as("requests in 4 s at two of six engines").isGreaterThan(2 * 4 * 5);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void should_keep_to_the_limit_while_routers_restart_and_are_cut_off(long seed) {
        start(7, 6);
        SplittableRandom disturbances = new SplittableRandom(seed);
        sendUntil(CALM_MILLIS, 60);
        Set<String> limited = fleet.limitEngines(2, OptionalDouble.of(1.7));
        Map<EntryVmId, Long> disturbedAtMillis = new HashMap<>();
        for (long untilMillis = CALM_MILLIS; untilMillis < DURATION_MILLIS; untilMillis += 500) {
            int index = disturbances.nextInt(fleet.routers.size());
            EntryVmId router = fleet.routers.get(index).self().id();
            switch (disturbances.nextInt(8)) {
                case 0 -> {
                    fleet.restart(index);
                    disturbedAtMillis.put(router, fleet.now());
                }
                case 1 -> {
                    fleet.cutOff(fleet.routers.get(index), 1_000);
                    disturbedAtMillis.put(router, fleet.now() + 1_000);
                }
                default -> {}
            }
            sendUntil(untilMillis + 500, 60);
        }
        fleet.arrivals()
                .removeIf(arrival -> disturbedAtMillis.containsKey(arrival.router())
                        && arrival.atMillis() < disturbedAtMillis.get(arrival.router()) + CONTACT_MILLIS);
        assertWithinLimit(limited, 1.7, CALM_MILLIS + CONTACT_MILLIS);
    }
}
