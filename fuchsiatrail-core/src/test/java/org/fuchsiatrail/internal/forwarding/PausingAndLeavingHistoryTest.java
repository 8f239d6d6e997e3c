package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.fuchsiatrail.EntryVmId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards pauses and leaving engines beside restarts and cuts of routers and ends of engines, in random order. */
class PausingAndLeavingHistoryTest {

    private static final long GRACE_MILLIS = 500;
    private static final long DRAIN_MILLIS = 2_000;
    private static final int ALLOWED_IN_A_PAUSE = 2;
    private static final long CALM_MILLIS = 2_000;
    private static final int CHANGES = 30;
    private static final long CHANGE_INTERVAL_MILLIS = 400;
    private static final double REQUESTS_PER_SECOND = 60;

    private EngineFleet fleet;
    private final Map<EntryVmId, List<Long>> restartsAtMillis = new HashMap<>();

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 100);
    }

    private void change(SplittableRandom changes) {
        List<FleetEngine> engines = fleet.firstEngines(Integer.MAX_VALUE);
        FleetEngine engine = engines.get(changes.nextInt(engines.size()));
        int index = changes.nextInt(fleet.routers.size());
        long leaving = engines.stream().filter(other -> other.leaving).count();
        switch (changes.nextInt(8)) {
            case 0, 1 -> engine.pauseMillis = 600 + changes.nextInt(4_000);
            case 2, 3 -> engines.forEach(other -> other.pauseMillis = 0);
            case 4 -> engine.leaving |= leaving < 3;
            case 5 -> {
                restartsAtMillis
                        .computeIfAbsent(fleet.routers.get(index).self().id(), key -> new ArrayList<>())
                        .add(fleet.now());
                fleet.restart(index);
            }
            case 6 -> fleet.cutOff(fleet.routers.get(index), 1_500);
            default -> fleet.endRandomEngine();
        }
    }

    private boolean isBound(EngineFleet.Answer answer, EngineFleet.Arrival arrival) {
        return answer.router().equals(arrival.router())
                && answer.engine().equals(arrival.engine())
                && restartsAtMillis.getOrDefault(answer.router(), List.of()).stream()
                        .noneMatch(atMillis -> atMillis >= answer.atMillis() && atMillis <= arrival.atMillis());
    }

    private boolean isInPause(EngineFleet.Answer answer, EngineFleet.Arrival arrival) {
        long pauseMillis = answer.head().requestedPause().get().millis().orElseThrow();
        return arrival.atMillis() > answer.atMillis() + GRACE_MILLIS
                && arrival.atMillis() < answer.atMillis() + pauseMillis;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_keep_pauses_and_drain_times_in_every_history(long seed) {
        fleet = new EngineFleet(seed, 7, 8);
        FleetTraffic traffic = new FleetTraffic(fleet);
        SplittableRandom changes = new SplittableRandom(seed);
        traffic.sendFor(CALM_MILLIS, REQUESTS_PER_SECOND);
        for (int number = 0; number < CHANGES; number++) {
            change(changes);
            traffic.sendFor(CHANGE_INTERVAL_MILLIS, REQUESTS_PER_SECOND);
        }
        for (EngineFleet.Answer answer : fleet.answers()) {
            if (answer.head().requestedPause().isPresent()) {
                assertThat(fleet.arrivals().stream()
                                .filter(arrival -> isBound(answer, arrival) && isInPause(answer, arrival))
                                .count())
                        .as("requests in the pause of %s", answer)
                        .isLessThanOrEqualTo(ALLOWED_IN_A_PAUSE);
            }
            if (answer.head().leaving()) {
                assertThat(fleet.arrivals().stream()
                                .filter(arrival -> isBound(answer, arrival)
                                        && arrival.request().sentAtMillis > answer.atMillis() + DRAIN_MILLIS))
                        .as("requests after the time to drain of %s", answer)
                        .isEmpty();
            }
        }
    }
}
