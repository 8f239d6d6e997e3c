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

/**
 * Runs every ordered pair of faults under a mix of chat requests and service calls, and checks the invariants.
 *
 * <p>Guards against guarantees that hold under either fault alone and break when a second fault begins during the
 * first.
 */
class HistoryProofTest {

    /** The length of one history in steps of one millisecond. */
    private static final int STEPS = Integer.getInteger("fuchsiatrail.history.steps", 2_500);

    /** The number of histories for each pair of faults. */
    private static final int HISTORIES_PER_PAIR = Integer.getInteger("fuchsiatrail.history.rounds", 1);

    private static final long FIRST_SEED = Long.getLong("fuchsiatrail.history.seed", 10_000);

    /** A fault that begins at a random step; it ends by itself or when all faults are cleared. */
    enum Fault {
        ENGINE_CRASH,
        ENGINE_FREEZE,
        ROUTER_KILL,
        ROUTER_PAUSE,
        ROUTER_STOP,
        STORE_DOWN,
        STORE_SLOW,
        STORE_RESPONSES_LOST,
        DOMAIN_ISOLATED,
        DOMAIN_CUT_FROM_STORE,
        PEER_NETWORK_LOSSY,
        CACHE_EVENTS_LOST,
        ENGINE_EVENTS_MISDELIVERED,
        SERVICE_RESPONSES_LOST,
        SERVICE_CONNECTIONS_REFUSED,
        CONCURRENT_CONFIRMATIONS
    }

    /** One run of a deployment with two faults, and the requests whose answers are checked afterwards. */
    private static final class History {
        private final Fixture fixture;
        private final SplittableRandom random;
        private final Map<CallerRecord, ChatCall> chats = new HashMap<>();
        private int requestCount;

        History(long seed) {
            fixture = Fixture.started(seed);
            random = new SplittableRandom(seed);
        }

        void run(Fault first, Fault second) {
            int firstStep = random.nextInt(STEPS / 3);
            int secondStep = firstStep + random.nextInt(STEPS / 10);
            for (int step = 0; step < STEPS; step++) {
                if (step % 40 == 0) {
                    sendRequest();
                }
                if (step == firstStep) {
                    inject(first);
                }
                if (step == secondStep) {
                    inject(second);
                }
                fixture.deployment.run(1);
            }
            fixture.faults.clear();
            for (VirtualRouter router : fixture.deployment.routers()) {
                if (!router.isUp()) {
                    fixture.deployment.restart(router);
                }
            }
            fixture.deployment.runUntil(() -> fixture.allFinished(fixture.deployment.callers()), 60_000);
        }

        private void sendRequest() {
            requestCount++;
            VirtualRouter router = fixture.router(1 + random.nextInt(fixture.routerCount()));
            if (requestCount % 2 == 0) {
                String key = "key-" + random.nextInt(1 + requestCount / 4);
                fixture.deployment.service(router, Fixture.ALPHA_KEY, Fixture.issueCall(key, 1_500));
                return;
            }
            ChatCall call =
                    Fixture.chatCall(Fixture.prompt("subject " + random.nextInt(5), 5 + random.nextInt(30)), 20);
            String key = random.nextBoolean() ? Fixture.ALPHA_KEY : Fixture.BETA_KEY;
            chats.put(fixture.deployment.chat(router, key, call), call);
        }

        private void inject(Fault fault) {
            Faults faults = fixture.faults;
            VirtualRouter router = fixture.router(1 + random.nextInt(fixture.routerCount()));
            FailureDomain domain = new FailureDomain("domain-" + (1 + random.nextInt(Fixture.DOMAINS)));
            int engine = 1 + random.nextInt(Fixture.ENGINES);
            switch (fault) {
                case ENGINE_CRASH -> fixture.deployment.crash(Fixture.engineId(engine), random.nextInt(1_000));
                case ENGINE_FREEZE -> fixture.deployment.freeze(Fixture.engineId(engine), 5_000);
                case ROUTER_KILL -> fixture.deployment.kill(router);
                case ROUTER_PAUSE -> fixture.deployment.pause(router, random.nextInt(3_000));
                case ROUTER_STOP -> fixture.deployment.requestStop(router);
                case STORE_DOWN -> faults.storeDown = true;
                case STORE_SLOW -> faults.storeDelayMillis = 300;
                case STORE_RESPONSES_LOST -> faults.storeResponseLossRate = 0.4;
                case DOMAIN_ISOLATED -> faults.isolatedDomains.add(domain);
                case DOMAIN_CUT_FROM_STORE -> faults.domainsWithoutStore.add(domain);
                case PEER_NETWORK_LOSSY -> {
                    faults.peerMessageLossRate = 0.3;
                    faults.peerMessageDuplicationRate = 0.2;
                    faults.maximumPeerJitterMillis = 40;
                }
                case CACHE_EVENTS_LOST -> faults.cacheEventLossRate = 0.8;
                case ENGINE_EVENTS_MISDELIVERED -> {
                    faults.engineEventMisdeliveryRate = 0.3;
                    faults.engineEventDuplicationRate = 0.2;
                }
                case SERVICE_RESPONSES_LOST -> faults.serviceResponseLossRate = 0.4;
                case SERVICE_CONNECTIONS_REFUSED -> faults.serviceConnectionRefusalRate = 0.4;
                case CONCURRENT_CONFIRMATIONS -> confirmConcurrently();
                default -> throw new IllegalArgumentException(fault.name());
            }
        }

        private void confirmConcurrently() {
            for (int operator = 1; operator <= 2; operator++) {
                Intent intent = Fixture.intent(List.of(operator), Fixture.TUTOR_V1);
                VirtualRouter router = fixture.router(operator);
                long plan = fixture.deployment.sendOperatorRequest(router, new OperatorRequest.Plan(intent));
                fixture.deployment.run(2);
                if (fixture.deployment.operatorAnswer(plan) instanceof OperatorAnswer.Planned planned) {
                    fixture.deployment.sendOperatorRequest(
                            router, new OperatorRequest.Confirm(planned.planId(), intent));
                }
            }
        }

        void check() {
            chats.forEach((caller, call) -> Invariants.checkStream(caller, call, Fixture.TUTOR_V1, 0));
            Invariants.checkAtMostOnce(fixture.deployment);
            Invariants.checkNotExecutedRefusals(fixture.deployment, fixture.deployment.callers());
            fixture.deployment.callers().forEach(Invariants::checkRetryTime);
            assertThat(fixture.allFinished(fixture.deployment.callers()))
                    .as("every caller has a final answer or a lost connection")
                    .isTrue();
            assertThat(fixture.deployment.counter("inputs.failed")).isZero();
        }

        long answeredRequests() {
            return fixture.deployment.callers().stream()
                    .filter(caller -> caller.lastAnswer() instanceof CallerAnswer.End
                            || caller.lastAnswer() instanceof CallerAnswer.Result)
                    .count();
        }
    }

    @Test
    void should_keep_every_invariant_under_every_pair_of_faults() {
        long seed = FIRST_SEED;
        long answered = 0;
        long sent = 0;
        for (int round = 0; round < HISTORIES_PER_PAIR; round++) {
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
                    answered += history.answeredRequests();
                    sent += history.fixture.deployment.callers().size();
                    seed++;
                }
            }
        }
        assertThat((double) answered / sent)
                .as("fraction of requests answered under faults")
                .isGreaterThan(0.5);
    }
}
