package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against single requests that routers of a large deployment, each with few requests, leave without an answer or
 * a refusal beside changes of the configuration. Longer runs by hand: {@code -Dcuts.firstSeed}, {@code -Dcuts.seeds}
 * and {@code -Dcuts.changes}.
 */
class StreamCutBesideConfigurationTest {

    private static final int ROUTERS = 70;
    private static final int ENGINES = 60;
    private static final int EVENTS = 16;
    private static final long EVENT_INTERVAL_MILLIS = 100;
    private static final long DEADLINE_MILLIS = 10_000;
    private static final long FIRST_SEED = Long.getLong("cuts.firstSeed", 2);
    private static final int SEEDS = Integer.getInteger("cuts.seeds", 1);
    private static final int CHANGES = Integer.getInteger("cuts.changes", 2);

    /** What happens beside a change of the configuration. */
    private enum Trouble {
        SOME_ENGINES_SILENT,
        ALL_ENGINES_SILENT,
        ENGINES_REFUSE,
        ENGINES_FAIL,
        ENGINES_REPLACED,
        WEIGHTS_CHANGED,
        STORE_UNANSWERED,
        CONNECTIONS_RESET,
        ENGINES_DOWN_BY_TURNS,
        PEER_PATHS_CUT,
        ROUTERS_RESTARTED;

        /** Trouble in which no run of an engine is lost. */
        static final List<Trouble> WITHOUT_LOSSES =
                List.of(SOME_ENGINES_SILENT, ALL_ENGINES_SILENT, ENGINES_REFUSE, ENGINES_FAIL, STORE_UNANSWERED);
    }

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /** Traffic with changes of the configuration, each between two troubles. */
    private static final class Day {
        private final EngineFleet fleet;
        private final SiteTraffic traffic;
        private final List<Trouble> troubles;
        private final List<String> history = new ArrayList<>();
        private long configurationVersion = 1;
        private long weightsVersion = 1;

        Day(long seed, List<Trouble> troubles) {
            this.troubles = troubles;
            fleet = new EngineFleet(seed, ROUTERS, ENGINES, FleetNames.OF_PLATFORM, false);
            fleet.streamEvents(EVENTS, EVENT_INTERVAL_MILLIS);
            traffic = new SiteTraffic(fleet);
        }

        void play() {
            traffic.sendFor(CallTiming.WARM_UP_MILLIS + 500);
            for (int change = 0; change < CHANGES; change++) {
                causeRandomTrouble();
                traffic.sendFor(fleet.random.nextInt(1_200));
                changeConfiguration();
                traffic.sendFor(fleet.random.nextInt(800));
                causeRandomTrouble();
                traffic.sendFor(1_500);
            }
            waitForDeadlines();
        }

        private void waitForDeadlines() {
            long endMillis = fleet.now() + DEADLINE_MILLIS + 500;
            while (fleet.now() < endMillis) {
                fleet.advanceTime();
            }
        }

        private void changeConfiguration() {
            configurationVersion++;
            history.add(fleet.now() + " configuration " + configurationVersion);
            StoreItemContent content = new StoreItemContent.Routing(routingTable());
            fleet.routers.forEach(router -> router.put("configuration", content));
        }

        /** Each version has another timeout, every second one a further route, every third one smaller caches. */
        private RoutingTable routingTable() {
            List<Route> routes = new ArrayList<>();
            routes.add(route("/ask/", 12_000 + configurationVersion * 100));
            if (configurationVersion % 2 == 0) {
                routes.add(route("/added/", 12_000));
            }
            long memoryTokens = configurationVersion % 3 == 0 ? 90_000 : 100_000;
            ServiceDefinition service = new ServiceDefinition(
                    "tutors",
                    300,
                    Optional.of(new ServiceDefinition.EngineTraits(FleetEngine.SLOTS, memoryTokens, 163_840, 550_000)),
                    Optional.empty());
            CustomerEntry customer = new CustomerEntry(
                    new CustomerId("huaman"), List.of(ForwardingFixture.KEY), OptionalInt.empty(), false);
            return new RoutingTable(
                    configurationVersion, routes, List.of(service), List.of(customer), CallerLimits.DEFAULTS);
        }

        private static Route route(String prefix, long timeoutMillis) {
            Route route = ForwardingFixture.route(prefix, RequestKind.STREAM, true, 2, "tutors");
            return new Route(
                    route.name(),
                    route.host(),
                    prefix,
                    route.kind(),
                    route.resumable(),
                    route.allowsAnonymous(),
                    route.describesPrompt(),
                    route.maximumAttempts(),
                    timeoutMillis,
                    route.latencyTargetMillis(),
                    route.priority(),
                    route.targets());
        }

        private void causeRandomTrouble() {
            Trouble trouble = troubles.get(fleet.random.nextInt(troubles.size()));
            history.add(fleet.now() + " " + trouble);
            switch (trouble) {
                case SOME_ENGINES_SILENT -> silence(randomEngines(1 + fleet.random.nextInt(ENGINES / 2)));
                case ALL_ENGINES_SILENT -> silence(fleet.firstEngines(ENGINES));
                case ENGINES_REFUSE -> {
                    List<FleetEngine> engines = randomEngines(1 + fleet.random.nextInt(ENGINES));
                    engines.forEach(engine -> engine.refusing = true);
                    traffic.sendFor(600);
                    engines.forEach(engine -> engine.refusing = false);
                }
                case ENGINES_FAIL -> {
                    List<FleetEngine> engines = randomEngines(1 + fleet.random.nextInt(ENGINES / 2));
                    engines.forEach(engine ->
                            engine.failure = Optional.of(new AttemptEvent.Answered(FleetEngine.failureHead())));
                    traffic.sendFor(600);
                    engines.forEach(engine -> engine.failure = Optional.empty());
                }
                case ENGINES_REPLACED ->
                    repeat(6, () -> fleet.replaceOldestEngine(fleet.random.nextBoolean() ? "v1" : "v2"));
                case WEIGHTS_CHANGED -> {
                    fleet.setTargetWeights(++weightsVersion);
                    repeat(6, () -> {
                        fleet.switchEngines(ENGINES / 6);
                        traffic.sendFor(100);
                    });
                }
                case STORE_UNANSWERED -> {
                    List<ForwardingFixture> unanswered = randomRouters(ROUTERS / 7);
                    unanswered.forEach(router -> router.storeAnswers = false);
                    changeConfiguration();
                    traffic.sendFor(600);
                    unanswered.forEach(router -> router.storeAnswers = true);
                }
                case CONNECTIONS_RESET -> randomEngines(8).forEach(fleet::breakConnections);
                case ENGINES_DOWN_BY_TURNS ->
                    repeat(4, () -> {
                        fleet.endRandomEngine();
                        traffic.sendFor(200);
                    });
                case PEER_PATHS_CUT -> randomRouters(ROUTERS / 7).forEach(router -> fleet.cutOff(router, 1_000));
                case ROUTERS_RESTARTED ->
                    randomRouters(3).forEach(router -> fleet.restart(fleet.routers.indexOf(router)));
                default -> throw new IllegalStateException(trouble.name());
            }
        }

        private static void repeat(int times, Runnable action) {
            IntStream.range(0, times).forEach(time -> action.run());
        }

        private void silence(List<FleetEngine> engines) {
            long endMillis = fleet.now() + 800 + fleet.random.nextInt(601);
            engines.forEach(engine -> engine.silentUntilMillis = endMillis);
        }

        private List<FleetEngine> randomEngines(int count) {
            return randomOf(fleet.firstEngines(ENGINES), count);
        }

        private List<ForwardingFixture> randomRouters(int count) {
            return randomOf(fleet.routers, count);
        }

        private <T> List<T> randomOf(List<T> all, int count) {
            List<T> left = new ArrayList<>(all);
            return IntStream.range(0, Math.min(count, left.size()))
                    .mapToObj(number -> left.remove(fleet.random.nextInt(left.size())))
                    .toList();
        }

        /** The requests that meet a condition, by their routers. */
        private Map<String, List<String>> byRouter(Predicate<FleetRequest> condition) {
            return fleet.sentRequests().stream()
                    .filter(condition)
                    .collect(Collectors.groupingBy(
                            request -> request.router.self().id().value(),
                            TreeMap::new,
                            Collectors.mapping(this::describe, Collectors.toList())));
        }

        private String describe(FleetRequest request) {
            return "sent at %d, cut at %d, %d runs broken off, %s"
                    .formatted(
                            request.sentAtMillis,
                            request.abortedAtMillis,
                            request.runsBrokenOff,
                            fleet.log.refusal(request));
        }

        void assertCutByNoRouter() {
            assertThat(byRouter(request -> request.abortedAtMillis > 0 && request.runsBrokenOff == 0))
                    .as("streams cut by their router beside %s", history)
                    .isEmpty();
        }

        void assertEachEnded() {
            assertThat(byRouter(request ->
                            !request.finished && !request.failed && !request.broken && request.refusal == null))
                    .as("requests with neither an answer nor a refusal at their deadline beside %s", history)
                    .isEmpty();
        }

        /** Without this the other assertions would also hold if routers refused everything. */
        void assertServed() {
            assertThat(fleet.sentRequests().stream().filter(request -> request.finished))
                    .as("finished requests beside %s", history)
                    .hasSizeGreaterThan(fleet.sentRequests().size() * 2 / 3);
        }
    }

    private static void play(long seed, List<Trouble> troubles) {
        Day day = new Day(seed, troubles);
        day.play();
        day.assertServed();
        day.assertEachEnded();
        day.assertCutByNoRouter();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_cut_no_stream_while_no_run_of_an_engine_is_lost(long seed) {
        play(seed, Trouble.WITHOUT_LOSSES);
    }

    /** A stream may end with its run if an engine broke it off. */
    @ParameterizedTest
    @MethodSource("seeds")
    void should_cut_no_stream_that_was_not_broken_off(long seed) {
        play(seed, List.of(Trouble.values()));
    }
}
