package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against routers that find each of many dark engines by themselves, take them for the loss of their paths, or
 * leave streams waiting there. Load pattern: a part of the engines goes dark at once under streams that must not be
 * repeated.
 */
class DarkEnginesAtManyRoutersTest {

    private static final long CALM_MILLIS = 4_000;
    private static final long DARK_MILLIS = 5_000;
    private static final long FOUND_MILLIS = 600;
    private static final int SENDS_ALLOWED = 2;

    /** How soon all routers know of an engine that one of them found, in milliseconds. */
    private static final long KNOWN_MILLIS = 1_200;

    @ParameterizedTest
    @CsvSource({
        "13,12,60,3,/mark/",
        "13,12,60,6,/ask/",
        "16,28,120,7,/mark/",
        "16,28,120,14,/mark/",
        "68,98,300,24,/mark/",
        "68,98,300,33,/ask/",
        "68,98,300,49,/mark/"
    })
    void should_tell_each_other_of_dark_engines_and_keep_their_paths(
            int routers, int engines, double requestsPerSecond, int darkEngines, String path) {
        EngineFleet fleet = new EngineFleet(5, routers, engines, FleetNames.SHORT, true);
        fleet.path = path;
        FleetTraffic traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, requestsPerSecond);
        long darkAtMillis = fleet.now();
        List<FleetEngine> dark = fleet.firstEngines(darkEngines);
        dark.forEach(engine -> engine.dark = true);
        Set<String> ids = dark.stream().map(engine -> engine.id).collect(Collectors.toSet());
        Map<String, Long> foundAtMillis = new HashMap<>();
        while (fleet.now() < darkAtMillis + DARK_MILLIS) {
            traffic.sendFor(EngineFleet.STEP_MILLIS, requestsPerSecond);
            fleet.log
                    .events(FleetLog.UPSTREAM_DARK)
                    .forEach(fields -> ids.stream()
                            .filter(id -> fields.contains("upstream=" + id + ","))
                            .forEach(id -> foundAtMillis.putIfAbsent(id, fleet.now())));
        }

        assertThat(foundAtMillis.keySet()).as("engines found to be dark").isEqualTo(ids);
        assertThat(fleet.log.refusalsWithoutPath).as("refused without a path").isZero();
        assertThat(sendsByRouterAndEngine(fleet, ids, darkAtMillis + FOUND_MILLIS))
                .as("sends to a dark engine by one router")
                .allSatisfy((destination, sends) -> assertThat(sends).isLessThanOrEqualTo(SENDS_ALLOWED));
        assertThat(sendsSinceKnown(fleet, foundAtMillis))
                .as("sends to engines that are known to be dark")
                .isEmpty();
        assertThat(traffic.sentFrom(darkAtMillis).stream()
                        .filter(request -> request.sentAtMillis < darkAtMillis + DARK_MILLIS - 1_500)
                        .filter(request -> !request.started && request.refusal == null))
                .as("requests that still wait")
                .isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"3,12,60,3,/mark/", "7,28,120,14,/mark/", "12,28,120,7,/ask/"})
    void should_tell_nothing_and_end_no_stream_early_without_relays(
            int routers, int engines, double requestsPerSecond, int darkEngines, String path) {
        EngineFleet fleet = new EngineFleet(5, routers, engines, FleetNames.SHORT, true);
        fleet.path = path;
        FleetTraffic traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, requestsPerSecond);
        fleet.firstEngines(darkEngines).forEach(engine -> engine.dark = true);
        traffic.sendFor(DARK_MILLIS, requestsPerSecond);
        assertThat(fleet.log.events(FleetLog.UPSTREAM_DARK)).isEmpty();
        assertThat(fleet.log.events(FleetLog.ATTEMPT_ENDED)).isEmpty();
    }

    @Test
    void should_tell_nothing_and_end_no_stream_early_unless_the_settings_say_so() {
        EngineFleet fleet = new EngineFleet(5, 16, 28);
        fleet.path = "/mark/";
        FleetTraffic traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, 120);
        fleet.firstEngines(14).forEach(engine -> engine.dark = true);
        traffic.sendFor(DARK_MILLIS, 120);
        assertThat(fleet.log.events(FleetLog.UPSTREAM_DARK)).isEmpty();
        assertThat(fleet.log.events(FleetLog.ATTEMPT_ENDED)).isEmpty();
    }

    private static Map<String, Integer> sendsByRouterAndEngine(EngineFleet fleet, Set<String> dark, long fromMillis) {
        Map<String, Integer> sends = new HashMap<>();
        for (EngineFleet.Arrival send : fleet.log.unconnected) {
            if (dark.contains(send.engine()) && send.atMillis() >= fromMillis) {
                sends.merge(send.router() + " to " + send.engine(), 1, Integer::sum);
            }
        }
        return sends;
    }

    private static List<EngineFleet.Arrival> sendsSinceKnown(EngineFleet fleet, Map<String, Long> foundAtMillis) {
        return fleet.log.unconnected.stream()
                .filter(send -> send.atMillis() > foundAtMillis.get(send.engine()) + KNOWN_MILLIS)
                .toList();
    }
}
