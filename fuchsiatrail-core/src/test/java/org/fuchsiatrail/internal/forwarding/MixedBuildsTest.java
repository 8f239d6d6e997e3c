package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against promises that are broken while routers of two builds run side by side, in random histories. Routers
 * are replaced one after the other, forwards or backwards; the second half of them follows after a while, or the first
 * half is taken back. Meanwhile routers are cut off from peers, and engines crash, switch weights or software versions,
 * or name limits.
 *
 * <p>For longer runs, {@code -DmixedBuilds.histories=200} sets the number of histories of each case, and
 * {@code -DmixedBuilds.routers=70} the number of routers of all cases; both print what was served.
 */
class MixedBuildsTest {

    private static final int HISTORIES = Integer.getInteger("mixedBuilds.histories", 6);
    private static final int ROUTERS = Integer.getInteger("mixedBuilds.routers", 0);

    /** The time without requests at the start, after which routers have observed all recent streams. */
    private static final long WARM_UP_MILLIS = 31_000;

    private static final long CALM_MILLIS = 2_000;
    /** The time in which one half of the routers is replaced, in milliseconds. */
    private static final long REPLACEMENT_MILLIS = 3_000;

    private static final long SECOND_REPLACEMENT_MILLIS = 14_000;
    private static final long DURATION_MILLIS = 24_000;

    /** The time after a disturbance of a router from which its requests count, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** How long after newer weights were set a request may begin on replaced ones, in milliseconds. */
    private static final long REPLACED_WEIGHTS_MILLIS = 8_000;

    private static final long LONG_SUSPENSION_MILLIS = 4_000;
    /** The time after newer weights were set from which engines load them, in milliseconds. */
    private static final long FIRST_SWITCH_MILLIS = 10_000;

    private static final String CRASHING = "crashing";
    private static final int CRASHES = 5;
    private static final int CRASHING_SENDS_ALLOWED = 3;
    private static final int JOINED_STREAMS_ALLOWED = 2;
    private static final double LIMIT = 1.7;
    private static final long LIMIT_WINDOW_MILLIS = 4_000;
    private static final double LIMIT_FACTOR = 1.5;
    private static final int LIMIT_EXTRA = 5;

    /** The order in which routers are replaced. */
    enum Order {
        FORWARDS,
        BACKWARDS,
        FORWARDS_AND_BACK
    }

    /** What happens to engines. */
    enum Hazard {
        NEWER_WEIGHTS,
        NEWER_SOFTWARE,
        CRASHING_REQUESTS,
        LIMITS
    }

    @ParameterizedTest
    @CsvSource({
        "LAST_LANDING,NEWER_WEIGHTS",
        "LAST_LANDING,NEWER_SOFTWARE",
        "LAST_LANDING,CRASHING_REQUESTS",
        "LAST_LANDING,LIMITS",
        "LANDING_BEFORE,NEWER_WEIGHTS",
        "LANDING_BEFORE,NEWER_SOFTWARE",
        "LANDING_BEFORE,CRASHING_REQUESTS",
        "LANDING_BEFORE,LIMITS"
    })
    void should_keep_promises_while_routers_of_two_builds_run_side_by_side(RouterBuild older, Hazard hazard) {
        Served served = new Served();
        for (int seed = 1; seed <= HISTORIES; seed++) {
            int routers = ROUTERS > 0 ? ROUTERS : seed % 2 == 0 ? 3 : 7;
            Order order = Order.values()[seed % Order.values().length];
            new History(seed, routers, older, order, hazard, served).run();
        }
        if (ROUTERS > 0 || System.getProperty("mixedBuilds.histories") != null) {
            System.out.println(older + " " + hazard + ": " + served);
        }
    }

    /** The requests that routers received while both builds ran, and the share of them that began. */
    private static final class Served {
        private final Map<RouterBuild, int[]> counts = new EnumMap<>(RouterBuild.class);
        private final Map<RouterBuild, int[]> resumedCounts = new EnumMap<>(RouterBuild.class);

        void add(RouterBuild build, FleetRequest request, boolean resumed) {
            int[] count = (resumed ? resumedCounts : counts).computeIfAbsent(build, key -> new int[2]);
            count[0]++;
            count[1] += request.started ? 1 : 0;
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder();
            counts.forEach((build, count) -> text.append(
                    "%s %.3f of %d requests begun, ".formatted(build, count[1] / (double) count[0], count[0])));
            resumedCounts.forEach((build, count) -> text.append(
                    "%s %.3f of %d streams resumed, ".formatted(build, count[1] / (double) count[0], count[0])));
            return text.toString();
        }
    }

    private static final class History {
        private final String name;
        private final EngineFleet fleet;
        private final RouterBuild older;
        private final Order order;
        private final Hazard hazard;
        private final Served served;
        private final int engineCount;
        private final long startMillis;
        private final List<SentRequest> sent = new ArrayList<>();
        private final List<FleetRequest> open = new ArrayList<>();
        private final Map<EntryVmId, Long> disturbedUntilMillis = new HashMap<>();
        /** When each target version was set, in milliseconds. */
        private final TreeMap<Long, Long> targetsSetAtMillis = new TreeMap<>();

        private Set<String> limitedEngines = new HashSet<>();
        private int replacedRouters;
        private int countedBeginnings;
        private int countedArrivals;
        private int beginningsTooLate;
        private int crashingSends;
        private long calmSinceMillis;
        private long nextTargetAtMillis;
        private long switchEnginesFromMillis = Long.MAX_VALUE;
        private int lastSoftwareVersion = 1;
        private int lastRequestPart;

        private record SentRequest(FleetRequest request, RouterBuild build, boolean resumed, boolean joinedBefore) {}

        History(int seed, int routers, RouterBuild older, Order order, Hazard hazard, Served served) {
            this.name = older + ", " + order + ", " + hazard + ", " + routers + " routers, seed " + seed;
            this.older = older;
            this.order = order;
            this.hazard = hazard;
            this.served = served;
            this.engineCount = engineCount(routers);
            this.fleet = new EngineFleet(seed, routers, engineCount);
            this.startMillis = fleet.now() + WARM_UP_MILLIS;
            this.nextTargetAtMillis = startMillis + CALM_MILLIS + fleet.random.nextInt(4_000);
            fleet.setBuild(order == Order.BACKWARDS ? RouterBuild.PRESENT : older);
            if (hazard == Hazard.CRASHING_REQUESTS) {
                fleet.crashOn(CRASHING, seed % 4 == 0);
            }
        }

        private static int engineCount(int routers) {
            if (routers < 70) {
                return 6;
            }
            return routers < 340 ? 42 : 60;
        }

        void run() {
            while (fleet.now() < startMillis) {
                fleet.advanceTime();
            }
            while (elapsedMillis() < DURATION_MILLIS) {
                replaceRouters();
                if (elapsedMillis() > CALM_MILLIS) {
                    disturbRouters();
                    disturbEngines();
                }
                sendRequests();
                resumeBrokenStreams();
                fleet.advanceTime();
                countBeginnings();
                countArrivals();
            }
            assertThat(beginningsTooLate)
                    .as("requests begun on replaced weights at present routers, %s", name)
                    .isZero();
            assertThat(joinedStreams())
                    .as("streams of two software versions, %s", name)
                    .isLessThanOrEqualTo(JOINED_STREAMS_ALLOWED);
            assertThat(crashingSends)
                    .as("crashing requests sent on, %s", name)
                    .isLessThanOrEqualTo(CRASHING_SENDS_ALLOWED);
            assertWithinLimit();
            sent.stream()
                    .filter(request -> isMixed(request.request().sentAtMillis - startMillis))
                    .forEach(request -> served.add(request.build(), request.request(), request.resumed()));
        }

        private long elapsedMillis() {
            return fleet.now() - startMillis;
        }

        private static boolean isMixed(long elapsedMillis) {
            return elapsedMillis > CALM_MILLIS && elapsedMillis < SECOND_REPLACEMENT_MILLIS + REPLACEMENT_MILLIS;
        }

        private void replaceRouters() {
            int half = fleet.routers.size() / 2;
            int due = (int) Math.min(half, half * (elapsedMillis() - CALM_MILLIS) / REPLACEMENT_MILLIS);
            long secondMillis = elapsedMillis() - SECOND_REPLACEMENT_MILLIS;
            if (secondMillis > 0) {
                int rest = fleet.routers.size() - half;
                due = half + (int) Math.min(rest, rest * secondMillis / REPLACEMENT_MILLIS);
            }
            while (replacedRouters < due) {
                boolean takenBack = order == Order.FORWARDS_AND_BACK && replacedRouters >= half;
                int index = takenBack ? replacedRouters - half : replacedRouters;
                ForwardingFixture router = fleet.routers.get(index);
                if (fleet.now() < fleet.suspendedUntilMillis(router.self().id())) {
                    return;
                }
                replacedRouters++;
                if (index < half || !takenBack) {
                    router.build = order == Order.BACKWARDS || takenBack ? older : RouterBuild.PRESENT;
                    fleet.restart(index);
                    disturbed(router, 0);
                }
            }
        }

        private void disturbed(ForwardingFixture router, long millis) {
            disturbedUntilMillis.merge(router.self().id(), fleet.now() + millis, Math::max);
            calmSinceMillis = Math.max(calmSinceMillis, fleet.now() + millis);
        }

        private boolean isDisturbed(EntryVmId router, long sinceMillis) {
            return fleet.now() < disturbedUntilMillis.getOrDefault(router, Long.MIN_VALUE / 2) + sinceMillis;
        }

        private void disturbRouters() {
            ForwardingFixture router = randomRouter();
            if (isDisturbed(router.self().id(), 0)) {
                return;
            }
            long millis = 500 + fleet.random.nextInt(4_000);
            switch (fleet.random.nextInt(160)) {
                case 0, 1 -> {
                    fleet.cutOff(router, millis);
                    disturbed(router, millis);
                }
                case 2, 3 -> {
                    if (hazard == Hazard.NEWER_WEIGHTS) {
                        suspend(router, millis);
                    }
                }
                case 4, 5, 6 -> {
                    if (hazard == Hazard.NEWER_SOFTWARE) {
                        fleet.restart(fleet.routers.indexOf(router));
                        disturbed(router, 0);
                    }
                }
                default -> {}
            }
        }

        private void disturbEngines() {
            switch (hazard) {
                case NEWER_WEIGHTS -> {
                    if (fleet.now() >= nextTargetAtMillis) {
                        setTargetWeights();
                    }
                    if (fleet.now() > switchEnginesFromMillis && fleet.random.nextInt(14) == 0) {
                        fleet.switchEngines(Math.max(1, engineCount / 4));
                    }
                    endEngine(320);
                }
                case NEWER_SOFTWARE -> {
                    switch (fleet.random.nextInt(200)) {
                        case 0, 1, 2, 3 -> fleet.replaceOldestEngine("v" + lastSoftwareVersion);
                        case 4 -> fleet.replaceOldestEngine("v" + ++lastSoftwareVersion);
                        default -> {}
                    }
                    endEngine(100);
                }
                case CRASHING_REQUESTS -> endEngine(160);
                case LIMITS -> {
                    if (limitedEngines.isEmpty()) {
                        limitedEngines = fleet.limitEngines(engineCount / 3, OptionalDouble.of(LIMIT));
                    }
                }
                default -> throw new IllegalStateException(hazard.toString());
            }
        }

        /** Sets newer target weights, mostly while a router is suspended, long before the first engine has them. */
        private void setTargetWeights() {
            if (fleet.random.nextInt(4) > 0) {
                suspend(randomRouter(), LONG_SUSPENSION_MILLIS);
            }
            long version = targetsSetAtMillis.size() + 2;
            targetsSetAtMillis.put(version, fleet.now());
            fleet.setTargetWeights(version);
            switchEnginesFromMillis = fleet.now() + FIRST_SWITCH_MILLIS;
            nextTargetAtMillis = switchEnginesFromMillis + fleet.random.nextInt(2_000);
        }

        private ForwardingFixture randomRouter() {
            return fleet.routers.get(fleet.random.nextInt(fleet.routers.size()));
        }

        private void suspend(ForwardingFixture router, long millis) {
            if (!isDisturbed(router.self().id(), 0)) {
                fleet.suspend(router, millis, fleet.random.nextBoolean());
                disturbed(router, millis);
            }
        }

        private void endEngine(int meanSteps) {
            if (fleet.random.nextInt(meanSteps) == 0) {
                fleet.endRandomEngine();
            }
        }

        private void sendRequests() {
            int session = fleet.random.nextInt(engineCount * 6);
            int count = Math.max(2, engineCount / 4);
            for (int number = 0; number < count; number++) {
                session = fleet.random.nextInt(engineCount * 6);
                send(course(session), session(session), requestPart());
            }
            if (hazard == Hazard.CRASHING_REQUESTS && elapsedMillis() > CALM_MILLIS && fleet.random.nextInt(12) == 0) {
                send(course(session), session(session), new ForwardedCall.PromptPart(CRASHING, 100), requestPart());
            }
        }

        private void send(ForwardedCall.PromptPart... prompt) {
            FleetRequest request = fleet.send(prompt);
            sent.add(new SentRequest(request, request.router.build, false, false));
            open.add(request);
        }

        private static ForwardedCall.PromptPart course(int session) {
            return new ForwardedCall.PromptPart("course-" + session % 2, 100);
        }

        private static ForwardedCall.PromptPart session(int session) {
            return new ForwardedCall.PromptPart("session-" + session, 100);
        }

        private ForwardedCall.PromptPart requestPart() {
            return new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600);
        }

        private void resumeBrokenStreams() {
            for (FleetRequest request : List.copyOf(open)) {
                if (request.finished || request.refusal != null) {
                    open.remove(request);
                } else if (request.broken) {
                    open.remove(request);
                    if (!request.stream.firstAttemptId.isEmpty()) {
                        boolean joined = request.stream.softwareVersions.size() > 1;
                        FleetRequest resumption = fleet.resume(request);
                        sent.add(new SentRequest(resumption, resumption.router.build, true, joined));
                        open.add(resumption);
                    }
                }
            }
        }

        /** Counts the streams that routers continued at another version. */
        private long joinedStreams() {
            return sent.stream()
                    .filter(request -> request.request().started && !request.joinedBefore())
                    .filter(request -> request.request().stream.softwareVersions.size() > 1)
                    .count();
        }

        private void countBeginnings() {
            List<EngineFleet.Beginning> beginnings = fleet.beginnings();
            for (; countedBeginnings < beginnings.size(); countedBeginnings++) {
                EngineFleet.Beginning beginning = beginnings.get(countedBeginnings);
                Map.Entry<Long, Long> newer = targetsSetAtMillis.higherEntry(beginning.weightsVersion());
                boolean late = newer != null && beginning.atMillis() > newer.getValue() + REPLACED_WEIGHTS_MILLIS;
                if (late && isPresent(beginning.router()) && !isDisturbed(beginning.router(), CONTACT_MILLIS)) {
                    beginningsTooLate++;
                }
            }
        }

        private boolean isPresent(EntryVmId id) {
            return fleet.routers.stream()
                    .filter(router -> router.self().id().equals(id))
                    .anyMatch(router -> router.build == RouterBuild.PRESENT);
        }

        /** Counts sends of crashing requests after their detection, and removes arrivals from disturbed routers. */
        private void countArrivals() {
            List<EngineFleet.Arrival> arrivals = fleet.arrivals();
            for (; countedArrivals < arrivals.size(); countedArrivals++) {
                EngineFleet.Arrival arrival = arrivals.get(countedArrivals);
                boolean detected = fleet.crashesAtMillis.size() >= CRASHES
                        && arrival.atMillis() > fleet.crashesAtMillis.get(CRASHES - 1) + CONTACT_MILLIS;
                boolean inTouch = arrival.atMillis() > calmSinceMillis + CONTACT_MILLIS;
                if (arrival.request().contains(CRASHING) && detected && inTouch) {
                    crashingSends++;
                }
                if (isDisturbed(arrival.router(), CONTACT_MILLIS)) {
                    arrivals.remove(countedArrivals--);
                }
            }
        }

        private void assertWithinLimit() {
            for (String engine : limitedEngines) {
                long[] arrivals = fleet.arrivals().stream()
                        .filter(arrival -> arrival.engine().equals(engine))
                        .mapToLong(EngineFleet.Arrival::atMillis)
                        .filter(millis -> millis > startMillis + CALM_MILLIS + CONTACT_MILLIS)
                        .toArray();
                int first = 0;
                int most = 0;
                for (int last = 0; last < arrivals.length; last++) {
                    while (arrivals[last] - arrivals[first] >= LIMIT_WINDOW_MILLIS) {
                        first++;
                    }
                    most = Math.max(most, last - first + 1);
                }
                assertThat((double) most)
                        .as("requests in 4 s at %s, %s", engine, name)
                        .isLessThanOrEqualTo(LIMIT_FACTOR * LIMIT * LIMIT_WINDOW_MILLIS / 1_000 + LIMIT_EXTRA);
            }
        }
    }
}
