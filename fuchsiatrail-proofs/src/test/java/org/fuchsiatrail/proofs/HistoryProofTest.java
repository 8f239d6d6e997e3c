package org.fuchsiatrail.proofs;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.Faults;
import org.fuchsiatrail.standins.drive.VirtualRouter;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Every pair of faults at once, under mixed work, against the invariants. */
class HistoryProofTest {

    /** The length of one history, in steps of a millisecond. */
    private static final int STEPS = Integer.getInteger("fuchsiatrail.history.steps", 2_500);

    /** Histories of each pair. */
    private static final int ROUNDS = Integer.getInteger("fuchsiatrail.history.rounds", 1);

    private static final long FIRST_SEED = Long.getLong("fuchsiatrail.history.seed", 10_000);

    /** One fault; each begins at some moment and ends by itself or when all heal. */
    enum Fault {
        ENGINE_CRASH,
        ENGINE_FREEZE,
        ROUTER_KILL,
        ROUTER_PAUSE,
        ROUTER_STOP,
        STORE_DOWN,
        STORE_SLOW,
        STORE_ANSWERS_LOST,
        DOMAIN_CUT,
        STORE_CUT,
        PEERS_LOSSY,
        CACHE_EVENTS_LOST,
        ENGINE_EVENTS_CROSSED,
        SERVICE_ANSWERS_LOST,
        SERVICE_REFUSES,
        OPERATORS_RACE
    }

    /** One history and what must be checked of it. */
    private static final class History {
        private final Fixture fixture;
        private final SplittableRandom random;
        private final Map<CallerRecord, ChatCall> chats = new HashMap<>();
        private int serial;

        History(long seed) {
            fixture = Fixture.started(seed);
            random = new SplittableRandom(seed);
        }

        void run(Fault first, Fault second) {
            int firstAt = random.nextInt(STEPS / 3);
            int secondAt = firstAt + random.nextInt(STEPS / 10);
            for (int step = 0; step < STEPS; step++) {
                if (step % 40 == 0) {
                    work();
                }
                if (step == firstAt) {
                    begin(first);
                }
                if (step == secondAt) {
                    begin(second);
                }
                fixture.deployment.run(1);
            }
            fixture.faults.heal();
            for (VirtualRouter router : fixture.deployment.routers()) {
                if (!router.isUp()) {
                    fixture.deployment.restart(router);
                }
            }
            fixture.deployment.runUntil(() -> fixture.allOver(fixture.deployment.callers()), 60_000);
        }

        private void work() {
            serial++;
            VirtualRouter router = fixture.router(1 + random.nextInt(fixture.routers()));
            if (serial % 2 == 0) {
                String key = "key-" + random.nextInt(1 + serial / 4);
                fixture.deployment.service(router, Fixture.ALPHA_KEY, Fixture.issue(key, 1_500));
                return;
            }
            ChatCall call = Fixture.chat(Fixture.prompt("subject " + random.nextInt(5), 5 + random.nextInt(30)), 20);
            String key = random.nextBoolean() ? Fixture.ALPHA_KEY : Fixture.BETA_KEY;
            chats.put(fixture.deployment.chat(router, key, call), call);
        }

        private void begin(Fault fault) {
            Faults faults = fixture.faults;
            VirtualRouter router = fixture.router(1 + random.nextInt(fixture.routers()));
            FailureDomain domain = new FailureDomain("domain-" + (1 + random.nextInt(Fixture.DOMAINS)));
            int engine = 1 + random.nextInt(Fixture.ENGINES);
            switch (fault) {
                case ENGINE_CRASH -> fixture.deployment.crash(Fixture.engineId(engine), random.nextInt(1_000));
                case ENGINE_FREEZE -> fixture.deployment.freeze(Fixture.engineId(engine), 5_000);
                case ROUTER_KILL -> fixture.deployment.kill(router);
                case ROUTER_PAUSE -> fixture.deployment.pause(router, random.nextInt(3_000));
                case ROUTER_STOP -> fixture.deployment.stop(router);
                case STORE_DOWN -> faults.storeDown = true;
                case STORE_SLOW -> faults.storeDelayMillis = 300;
                case STORE_ANSWERS_LOST -> faults.storeAnswersLost = 0.4;
                case DOMAIN_CUT -> faults.cutFromOthers.add(domain);
                case STORE_CUT -> faults.cutFromStore.add(domain);
                case PEERS_LOSSY -> {
                    faults.peerMessagesLost = 0.3;
                    faults.peerMessagesRepeated = 0.2;
                    faults.peerJitterMillis = 40;
                }
                case CACHE_EVENTS_LOST -> faults.cacheEventsLost = 0.8;
                case ENGINE_EVENTS_CROSSED -> {
                    faults.engineEventsCrossed = 0.3;
                    faults.engineEventsRepeated = 0.2;
                }
                case SERVICE_ANSWERS_LOST -> faults.serviceAnswersLost = 0.4;
                case SERVICE_REFUSES -> faults.serviceConnectionsRefused = 0.4;
                case OPERATORS_RACE -> race();
                default -> throw new IllegalArgumentException(fault.name());
            }
        }

        private void race() {
            for (int operator = 1; operator <= 2; operator++) {
                Intent intent = Fixture.intent(List.of(operator), Fixture.TUTOR);
                VirtualRouter router = fixture.router(operator);
                long plan = fixture.deployment.ask(router, new OperatorRequest.Plan(intent));
                fixture.deployment.run(2);
                if (fixture.deployment.operatorAnswer(plan) instanceof OperatorAnswer.Planned planned) {
                    fixture.deployment.ask(router, new OperatorRequest.Confirm(planned.planId(), intent));
                }
            }
        }

        void check() {
            chats.forEach((caller, call) -> Invariants.checkStream(caller, call, Fixture.TUTOR, 0));
            Invariants.checkAtMostOnce(fixture.deployment);
            Invariants.checkNotRunIsTrue(fixture.deployment, fixture.deployment.callers());
            fixture.deployment.callers().forEach(Invariants::checkComeBack);
            assertThat(fixture.allOver(fixture.deployment.callers()))
                    .as("every caller has an answer")
                    .isTrue();
            assertThat(fixture.deployment.counter("inputs.failed")).isZero();
        }

        long answered() {
            return fixture.deployment.callers().stream()
                    .filter(caller ->
                            caller.last() instanceof CallerAnswer.End || caller.last() instanceof CallerAnswer.Result)
                    .count();
        }
    }

    @Test
    void should_keep_every_invariant_under_every_pair_of_faults() {
        long seed = FIRST_SEED;
        long answered = 0;
        long asked = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (Fault first : Fault.values()) {
                for (Fault second : Fault.values()) {
                    History history = new History(seed);
                    try {
                        history.run(first, second);
                        history.check();
                    } catch (AssertionError e) {
                        throw new AssertionError(
                                "seed " + seed + ", " + first + " and " + second + ": " + e.getMessage(), e);
                    }
                    answered += history.answered();
                    asked += history.fixture.deployment.callers().size();
                    seed++;
                }
            }
        }
        assertThat((double) answered / asked)
                .as("part of requests answered under faults")
                .isGreaterThan(0.5);
    }
}
