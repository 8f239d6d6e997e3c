package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that begin on weights that were replaced long ago, and against needless refusals, in random
 * histories. Target weights are set again and again, engines load them late or soon, and crash. Routers are suspended,
 * restart, are cut off from peers and have their clocks changed, and the store has outages.
 */
class WeightsHistoryTest {

    private static final int HISTORIES = 25;
    private static final int ENGINES = 6;
    private static final long DURATION_MILLIS = 45_000;
    private static final long CALM_MILLIS = 4_000;

    /** How long after newer weights were set a request may begin on replaced ones, in milliseconds. */
    private static final long ALLOWED_MILLIS = 8_000;

    /** How much of that time requests may spend in the queue of an engine, in milliseconds. */
    private static final long QUEUE_MILLIS = 800;

    /** How long a router that was disturbed does not count, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** How much of that time has passed at most when the process of a restarted router begins, in milliseconds. */
    private static final long START_MILLIS = 2_000;

    /** How long after newer weights were set no request may be refused for that, in milliseconds. */
    private static final long NOT_REFUSED_MILLIS = 4_000;

    /** How long all engines have the newest weights before requests must begin, in milliseconds. */
    private static final long SWITCHED_MILLIS = 1_000;

    private static final int SERVED_REQUESTS_COMPARED = 50;
    private static final double SHARE_SERVED = 0.95;

    @ParameterizedTest
    @ValueSource(longs = {1_085, 2_190, 3_060, 4_050})
    void should_begin_no_request_on_weights_replaced_long_ago_in_every_history(long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + HISTORIES; seed++) {
            new History(seed, 3 + (int) (seed % 5), ENGINES, 1).run();
        }
    }

    /** What may happen in a history. */
    private enum Disturbance {
        SUSPENSION,
        SUSPENSION_WITH_STOPPED_CLOCK,
        RESTART,
        RESTART_OF_ALL,
        CLOCK_STEP,
        CUT,
        STORE_OUTAGE,
        ENGINE_CRASH
    }

    private static final class History {
        private final long seed;
        private final int requestsPerStep;
        private final EngineFleet fleet;
        private final SplittableRandom random;
        private final long startMillis;
        private final List<Disturbance> disturbances = new ArrayList<>();
        private final PlannedActions plan = new PlannedActions();
        private final TreeMap<Long, Long> setAtMillis = new TreeMap<>();
        private final Map<EntryVmId, Long> disturbedUntilMillis = new HashMap<>();
        private final Map<EntryVmId, Long> cutOffUntilMillis = new HashMap<>();
        private final List<FleetRequest> open = new ArrayList<>();
        private final List<FleetRequest> sentAfterSwitch = new ArrayList<>();
        private long version = 1;
        private long outageUntilMillis = Long.MIN_VALUE / 2;
        private long outdatedAtMillis = Long.MIN_VALUE / 2;
        /** The newest weights of the engines that ran at the last step. */
        private long newestWeightsBefore;

        private int lastRequestPart;
        private int checkedBeginnings;

        History(long seed, int routers, int engines, int requestsPerStep) {
            this.seed = seed;
            this.requestsPerStep = requestsPerStep;
            fleet = new EngineFleet(seed, routers, engines);
            random = new SplittableRandom(seed);
            startMillis = fleet.now();
            for (Disturbance disturbance : Disturbance.values()) {
                if (random.nextInt(5) < 3) {
                    disturbances.add(disturbance);
                }
            }
        }

        void run() {
            planTargets(startMillis + CALM_MILLIS);
            while (fleet.now() < startMillis + DURATION_MILLIS) {
                newestWeightsBefore = fleet.newestWeights();
                plan.runUntil(fleet::now);
                if (fleet.now() > startMillis + CALM_MILLIS && random.nextInt(60) == 0) {
                    disturb();
                }
                for (int number = 0; number < requestsPerStep; number++) {
                    send();
                }
                fleet.advanceTime();
                checkBeginnings();
                checkRefusals();
            }
            if (sentAfterSwitch.size() >= SERVED_REQUESTS_COMPARED) {
                long begun = sentAfterSwitch.stream()
                        .filter(request -> request.started)
                        .count();
                assertThat(begun / (double) sentAfterSwitch.size())
                        .as("share of %d requests begun after the switch, seed %d", sentAfterSwitch.size(), seed)
                        .isGreaterThanOrEqualTo(SHARE_SERVED);
            }
        }

        private void at(long atMillis, Runnable action) {
            plan.add(atMillis, action);
        }

        private long between(long minimum, long maximum) {
            return minimum + random.nextLong(maximum - minimum);
        }

        /** Plans up to three targets in quick succession, disturbances around them and when engines load them. */
        private void planTargets(long atMillis) {
            long targets = between(1, 4);
            for (int target = 0; target < targets; target++) {
                at(atMillis + (target == 0 ? 0 : between(300, 5_000)), this::setTarget);
            }
            long around = random.nextInt(4);
            for (int number = 0; number < around; number++) {
                at(atMillis + between(-1_500, 1_500), this::disturb);
            }
            long switchAtMillis = atMillis + (random.nextBoolean() ? between(500, 4_000) : between(7_000, 13_000));
            for (long engine = between(6, 9); engine > 0; engine--) {
                at(switchAtMillis, () -> fleet.switchEngines((int) Math.ceil(fleet.outdatedEngines() / 4.0)));
                switchAtMillis += between(200, 900);
            }
            if (random.nextInt(3) == 0) {
                switchAtMillis += between(2_000, 8_000);
            }
            at(switchAtMillis, () -> fleet.switchEngines((int) fleet.outdatedEngines()));
            long next = between(0, 3) == 0 ? atMillis + between(9_000, 13_000) : switchAtMillis + between(2_000, 5_000);
            at(next, () -> planTargets(next));
        }

        private void setTarget() {
            fleet.setTargetWeights(++version);
            setAtMillis.put(version, fleet.now());
        }

        private void disturb() {
            if (disturbances.isEmpty()) {
                return;
            }
            Runnable disturbance =
                    switch (disturbances.get(random.nextInt(disturbances.size()))) {
                        case SUSPENSION -> () -> suspend(true);
                        case SUSPENSION_WITH_STOPPED_CLOCK -> () -> suspend(false);
                        case RESTART -> () -> restart(random.nextInt(fleet.routers.size()));
                        case RESTART_OF_ALL -> this::restartAll;
                        case CLOCK_STEP -> this::stepClocks;
                        case CUT -> () -> cutOff(randomRouter(), between(500, 6_000));
                        case STORE_OUTAGE -> this::beginStoreOutage;
                        case ENGINE_CRASH -> fleet::endRandomEngine;
                    };
            disturbance.run();
        }

        private ForwardingFixture randomRouter() {
            return fleet.routers.get(random.nextInt(fleet.routers.size()));
        }

        private void cutOff(ForwardingFixture router, long millis) {
            fleet.cutOff(router, millis);
            cutOffUntilMillis.put(router.self().id(), fleet.now() + millis);
        }

        private void disturbed(ForwardingFixture router, long millis) {
            disturbedUntilMillis.merge(router.self().id(), fleet.now() + millis, Math::max);
        }

        /** One, some or all routers. */
        private List<ForwardingFixture> someRouters() {
            int share = random.nextInt(3);
            if (share == 0) {
                return List.of(randomRouter());
            }
            return fleet.routers.stream()
                    .filter(router -> share == 2 || random.nextBoolean())
                    .toList();
        }

        private void suspend(boolean clockCounts) {
            for (ForwardingFixture router : someRouters()) {
                if (!fleet.isSuspended(router)) {
                    long millis = between(1_200, 7_000);
                    fleet.suspend(router, millis, clockCounts);
                    disturbed(router, millis);
                }
            }
        }

        private void restart(int index) {
            fleet.restart(index);
            disturbedUntilMillis.put(fleet.routers.get(index).self().id(), fleet.now() - START_MILLIS);
        }

        private void restartAll() {
            for (int index = 0; index < fleet.routers.size(); index++) {
                restart(index);
            }
        }

        private void stepClocks() {
            for (ForwardingFixture router : someRouters()) {
                if (!fleet.isSuspended(router)) {
                    long millis = between(400, 20_000) * (random.nextBoolean() ? 1 : -1);
                    router.tick(new ForwardingInput.ClockJumped(millis));
                    disturbed(router, 0);
                }
            }
        }

        private void beginStoreOutage() {
            if (fleet.now() >= outageUntilMillis) {
                outageUntilMillis = fleet.now() + between(500, 4_000);
                fleet.setStoreAnswers(false);
                at(outageUntilMillis, () -> fleet.setStoreAnswers(true));
            }
        }

        private void send() {
            int session = random.nextInt(36);
            FleetRequest request = fleet.send(
                    new ForwardedCall.PromptPart("course-" + session % 2, 100),
                    new ForwardedCall.PromptPart("session-" + session, 100),
                    new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600));
            open.add(request);
            outdatedAtMillis = fleet.outdatedEngines() > 0 ? fleet.now() : outdatedAtMillis;
            if (fleet.now() > outdatedAtMillis + SWITCHED_MILLIS && isCalmSince(request.router, fleet.now())) {
                sentAfterSwitch.add(request);
            }
        }

        /** Whether neither a router nor the store has been disturbed from some time before a moment until now. */
        private boolean isCalmSince(ForwardingFixture router, long millis) {
            return isUndisturbedAt(router.self().id(), millis) && outageUntilMillis + CONTACT_MILLIS < millis;
        }

        private boolean isUndisturbedAt(EntryVmId router, long millis) {
            long disturbedMillis = Math.max(
                    disturbedUntilMillis.getOrDefault(router, Long.MIN_VALUE / 2),
                    cutOffUntilMillis.getOrDefault(router, Long.MIN_VALUE / 2));
            return disturbedMillis + CONTACT_MILLIS < millis;
        }

        /** When weights were first replaced by newer ones, in milliseconds. */
        private long replacedAtMillis(long weights) {
            Map.Entry<Long, Long> newer = setAtMillis.higherEntry(weights);
            return newer == null ? Long.MAX_VALUE / 2 : newer.getValue();
        }

        private void checkBeginnings() {
            List<EngineFleet.Beginning> beginnings = fleet.beginnings();
            for (; checkedBeginnings < beginnings.size(); checkedBeginnings++) {
                EngineFleet.Beginning beginning = beginnings.get(checkedBeginnings);
                long countedFromMillis = Math.max(replacedAtMillis(beginning.weightsVersion()), outageUntilMillis);
                if (isUndisturbedAt(beginning.router(), beginning.atMillis())) {
                    assertThat(beginning.atMillis() - countedFromMillis)
                            .as(
                                    "time at which %s began a request on version %d after its replacement, seed %d, %s,"
                                            + " at %d",
                                    beginning.router(),
                                    beginning.weightsVersion(),
                                    seed,
                                    disturbances,
                                    beginning.atMillis() - startMillis)
                            .isLessThanOrEqualTo(ALLOWED_MILLIS - QUEUE_MILLIS);
                }
            }
        }

        private void checkRefusals() {
            open.removeIf(request -> {
                if (request.refusal == ResultCode.NO_UPSTREAM && request.sends == 0) {
                    checkRefusal(request);
                }
                return request.started || request.refusal != null || request.broken;
            });
        }

        private void checkRefusal(FleetRequest request) {
            long newest = Math.min(newestWeightsBefore, fleet.newestWeights());
            long replacedAtMillis = replacedAtMillis(newest);
            if (newest > 0 && isCalmSince(request.router, Math.min(replacedAtMillis, fleet.now()))) {
                assertThat(fleet.now() - replacedAtMillis)
                        .as(
                                "time at which %s refused a request after version %d was replaced, seed %d, %s, at %d",
                                request.router.self().id(), newest, seed, disturbances, fleet.now() - startMillis)
                        .isGreaterThanOrEqualTo(NOT_REFUSED_MILLIS);
            }
        }
    }
}
