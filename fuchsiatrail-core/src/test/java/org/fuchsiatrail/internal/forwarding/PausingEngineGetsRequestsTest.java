package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests to an engine that turned one away and asked for a pause. */
class PausingEngineGetsRequestsTest {

    /** The time after an answer from which requests to its engine count, in milliseconds. */
    private static final long GRACE_MILLIS = 500;

    private static final int ALLOWED = 2;
    private static final long PAUSE_MILLIS = 3_000;
    private static final long CALM_MILLIS = 4_000;
    private static final long PAUSING_MILLIS = 5_000;
    private static final long RETURN_MILLIS = 10_000;
    private static final double LEAST_SHARE_OF_BEFORE = 2.0 / 3;

    private EngineFleet fleet;
    private FleetTraffic traffic;

    /** The requests to an engine beyond those allowed, summed over all pauses that it asked for. */
    private long requestsBeyondAllowed() {
        long beyond = 0;
        for (EngineFleet.Answer answer : fleet.answers()) {
            if (answer.head().requestedPause().isPresent()) {
                long millis = answer.head().requestedPause().get().millis().orElseThrow();
                long arrived = fleet.arrivals().stream()
                        .filter(arrival -> arrival.atMillis() > answer.atMillis() + GRACE_MILLIS
                                && arrival.atMillis() < answer.atMillis() + millis)
                        .filter(arrival -> arrival.engine().equals(answer.engine())
                                && arrival.router().equals(answer.router()))
                        .count();
                beyond += Math.max(0, arrived - ALLOWED);
            }
        }
        return beyond;
    }

    private int mostArrivalsInOneSecond(String engine, long fromMillis) {
        long[] arrivals = fleet.arrivals().stream()
                .filter(arrival -> arrival.engine().equals(engine) && arrival.atMillis() >= fromMillis)
                .mapToLong(EngineFleet.Arrival::atMillis)
                .toArray();
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivals.length; last++) {
            while (arrivals[last] - arrivals[first] >= 1_000) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    @ParameterizedTest
    @CsvSource({"3,6,60", "7,6,90", "70,42,300", "340,12,300"})
    void should_leave_a_pausing_engine_alone_and_serve_at_the_others(
            int routers, int engines, double requestsPerSecond) {
        fleet = new EngineFleet(5, routers, engines);
        traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, requestsPerSecond);
        long pausedAtMillis = fleet.now();
        List<FleetEngine> pausing = fleet.firstEngines(engines / 3);
        pausing.forEach(engine -> engine.pauseMillis = PAUSE_MILLIS);
        traffic.sendFor(PAUSING_MILLIS, requestsPerSecond);
        pausing.forEach(engine -> engine.pauseMillis = 0);
        traffic.sendFor(1_000, requestsPerSecond);
        assertThat(requestsBeyondAllowed())
                .as("requests beyond two in a pause; %d were turned away", turnedAway())
                .isZero();
        assertThat(traffic.shareStarted(pausedAtMillis, pausedAtMillis + PAUSING_MILLIS))
                .as("requests begun while engines pause")
                .isGreaterThanOrEqualTo(LEAST_SHARE_OF_BEFORE
                        * traffic.shareStarted(pausedAtMillis - CALM_MILLIS + 1_000, pausedAtMillis));
    }

    private long turnedAway() {
        return fleet.answers().stream()
                .filter(answer -> answer.head().requestedPause().isPresent())
                .count();
    }

    @ParameterizedTest
    @CsvSource({"3,6,60", "7,6,90", "70,42,300", "340,60,300"})
    void should_return_to_an_engine_gradually_after_its_pause(int routers, int engines, double requestsPerSecond) {
        fleet = new EngineFleet(6, routers, engines);
        traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, requestsPerSecond);
        List<FleetEngine> pausing = fleet.firstEngines(engines / 3);
        pausing.forEach(engine -> engine.pauseMillis = PAUSE_MILLIS);
        traffic.sendFor(PAUSING_MILLIS, requestsPerSecond);
        pausing.forEach(engine -> engine.pauseMillis = 0);
        long acceptsAtMillis = fleet.now();
        traffic.sendFor(RETURN_MILLIS, requestsPerSecond);
        Set<String> pausingIds = pausing.stream().map(engine -> engine.id).collect(Collectors.toSet());
        for (String engine : pausingIds) {
            assertThat(mostArrivalsInOneSecond(engine, acceptsAtMillis))
                    .as("requests to %s in a second after its pause", engine)
                    .isLessThanOrEqualTo(FleetEngine.SLOTS);
        }
        long late = fleet.arrivals().stream()
                .filter(arrival -> arrival.atMillis() >= fleet.now() - 3_000)
                .filter(arrival -> pausingIds.contains(arrival.engine()))
                .count();
        assertThat((double) late)
                .as("requests in 3 s at a third of the engines after their pause")
                .isGreaterThan(requestsPerSecond * 3 / 3 / 2);
    }

    @Test
    void should_refuse_at_once_until_the_earliest_end_while_all_engines_pause() {
        fleet = new EngineFleet(7, 3, 3);
        traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, 30);
        fleet.firstEngines(3).forEach(engine -> engine.pauseMillis = PAUSE_MILLIS);
        traffic.sendFor(1_000, 30);
        fleet.firstEngines(3).forEach(engine -> engine.pauseMillis = 0);
        List<Long> advised = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            FleetRequest refused = traffic.sendOne();
            assertThat(refused.refusal).isEqualTo(ResultCode.OVERLOADED);
            assertThat(refused.sends).isZero();
            assertThat(refused.retryAfterMillis).isBetween(PAUSE_MILLIS - 1_000, PAUSE_MILLIS * 3 / 2);
            advised.add(refused.retryAfterMillis);
        }
        assertThat(Set.copyOf(advised)).as("different times to come back").hasSizeGreaterThan(10);
        traffic.sendFor(PAUSE_MILLIS, 30);
        long againAtMillis = fleet.now();
        traffic.sendFor(2_000, 30);
        fleet.advanceTime();
        fleet.advanceTime();
        assertThat(traffic.shareStarted(againAtMillis, againAtMillis + 1_900))
                .as("requests begun after the pause")
                .isGreaterThan(0.95);
    }
}
