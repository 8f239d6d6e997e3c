package org.fuchsiatrail.proofs;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Promises 5 and 6 of docs/PROOFS.md: a call with an idempotency key runs at most once, and a refusal that rules out
 * execution is true.
 *
 * <p>Guards against second runs and wrong refusals when routers receive the same key concurrently, are killed or paused
 * during a call, or when the store or a service connection fails.
 */
class LedgerProofTest {

    private static final long DEADLINE_MILLIS = 3_000;

    private CallerRecord sendIssueCall(Fixture fixture, int router, String key) {
        return sendIssueCall(fixture, router, key, DEADLINE_MILLIS);
    }

    private CallerRecord sendIssueCall(Fixture fixture, int router, String key, long deadlineMillis) {
        return fixture.deployment.service(
                fixture.router(router), Fixture.ALPHA_KEY, Fixture.issueCall(key, deadlineMillis));
    }

    private void checkInvariants(Fixture fixture) {
        Invariants.checkAtMostOnce(fixture.deployment);
        Invariants.checkNotExecutedRefusals(fixture.deployment, fixture.deployment.callers());
        fixture.deployment.callers().forEach(Invariants::checkRetryTime);
    }

    @Test
    void should_run_a_call_once_and_give_a_duplicate_the_recorded_answer() {
        Fixture fixture = Fixture.started(1);
        CallerRecord first = sendIssueCall(fixture, 1, "key");
        fixture.deployment.run(500);
        CallerRecord second = sendIssueCall(fixture, 2, "key");
        fixture.deployment.run(500);

        assertThat(first.lastAnswer()).isInstanceOf(CallerAnswer.Result.class);
        assertThat(second.lastAnswer()).isInstanceOfSatisfying(CallerAnswer.Result.class, result -> {
            assertThat(result.replayed()).isTrue();
            assertThat(result.body()).isEqualTo(((CallerAnswer.Result) first.lastAnswer()).body());
        });
        checkInvariants(fixture);
    }

    @Test
    void should_run_a_key_once_when_all_routers_get_it_at_the_same_moment() {
        Fixture fixture = Fixture.started(2, 2, settings -> {});
        for (int router = 1; router <= fixture.routerCount(); router++) {
            sendIssueCall(fixture, router, "key");
        }
        fixture.deployment.run(4_000);

        assertThat(fixture.deployment.runsByKey()).containsEntry("alpha/key", 1);
        assertThat(fixture.deployment.callers())
                .filteredOn(caller -> caller.lastAnswer() instanceof CallerAnswer.Result)
                .isNotEmpty();
        checkInvariants(fixture);
    }

    @Test
    void should_refuse_another_call_with_the_same_key() {
        Fixture fixture = Fixture.started(3);
        sendIssueCall(fixture, 1, "key");
        fixture.deployment.run(300);
        CallerRecord other = fixture.deployment.service(
                fixture.router(2),
                Fixture.ALPHA_KEY,
                new ServiceCall(
                        "certificates", "POST", "/issue", "text/plain", new byte[] {2}, "key", DEADLINE_MILLIS, ""));
        fixture.deployment.run(300);

        assertThat(other.refusal().code()).isEqualTo(ResultCode.IDEMPOTENCY_KEY_REUSED);
        checkInvariants(fixture);
    }

    @Test
    void should_run_a_key_once_whenever_its_router_is_killed() {
        for (int killedAfterMillis = 0; killedAfterMillis <= 40; killedAfterMillis++) {
            Fixture fixture = Fixture.started(100 + killedAfterMillis);
            sendIssueCall(fixture, 1, "key");
            fixture.deployment.run(killedAfterMillis);
            fixture.deployment.kill(fixture.router(1));
            sendIssueCall(fixture, 2, "key");
            fixture.deployment.run(6_000);
            sendIssueCall(fixture, 3, "key");
            fixture.deployment.run(3_000);
            checkInvariants(fixture);
        }
    }

    @Test
    void should_run_a_key_once_when_the_preferred_writer_is_killed() {
        for (int killedRouter = 1; killedRouter <= Fixture.DOMAINS; killedRouter++) {
            Fixture fixture = Fixture.started(200 + killedRouter);
            for (int call = 0; call < 20; call++) {
                sendIssueCall(fixture, 1 + call % Fixture.DOMAINS, "key-" + call);
                fixture.deployment.run(2);
            }
            fixture.deployment.kill(fixture.router(killedRouter));
            int runningRouter = 1 + killedRouter % Fixture.DOMAINS;
            for (int call = 0; call < 20; call++) {
                sendIssueCall(fixture, runningRouter, "key-" + call);
            }
            fixture.deployment.run(8_000);
            checkInvariants(fixture);
            assertThat(fixture.allFinished(fixture.deployment.callers())).isTrue();
        }
    }

    /** A failure of the store, or of the network, while calls arrive. */
    enum StoreFault {
        DOWN,
        SLOW,
        RESPONSES_LOST,
        UNREACHABLE_FROM_ONE_DOMAIN,
        DOMAIN_ISOLATED
    }

    @ParameterizedTest
    @EnumSource(StoreFault.class)
    void should_keep_both_guarantees_while_the_store_fails(StoreFault fault) {
        for (long seed = 300; seed < 310; seed++) {
            Fixture fixture = Fixture.started(seed);
            switch (fault) {
                case DOWN -> fixture.faults.storeDown = true;
                case SLOW -> fixture.faults.storeDelayMillis = 900;
                case RESPONSES_LOST -> fixture.faults.storeResponseLossRate = 0.5;
                case UNREACHABLE_FROM_ONE_DOMAIN ->
                    fixture.faults.domainsWithoutStore.add(new FailureDomain("domain-1"));
                default -> fixture.faults.isolatedDomains.add(new FailureDomain("domain-1"));
            }
            for (int call = 0; call < 30; call++) {
                sendIssueCall(fixture, 1 + call % Fixture.DOMAINS, "key-" + call / 3);
                fixture.deployment.run(40);
            }
            fixture.deployment.run(2_000);
            fixture.faults.clear();
            fixture.deployment.run(5_000);
            for (int call = 0; call < 10; call++) {
                sendIssueCall(fixture, 1, "key-" + call);
            }
            fixture.deployment.run(5_000);
            assertThat(fixture.allFinished(fixture.deployment.callers())).isTrue();
            checkInvariants(fixture);
        }
    }

    @Test
    void should_refuse_a_call_as_not_executed_at_the_deadline_while_the_store_is_down() {
        Fixture fixture = Fixture.started(4);
        fixture.faults.storeDown = true;
        CallerRecord caller = sendIssueCall(fixture, 1, "key", 1_000);
        fixture.deployment.run(1_100);

        assertThat(caller.refusal().code()).isEqualTo(ResultCode.LEDGER_UNAVAILABLE);
        assertThat(caller.refusal().retryAfterMillis()).isPositive();
        checkInvariants(fixture);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 15})
    void should_not_dispatch_after_a_pause_beyond_the_deadline(int pausedAfterMillis) {
        Fixture fixture = Fixture.started(400 + pausedAfterMillis);
        CallerRecord caller = sendIssueCall(fixture, 1, "key", 300);
        fixture.deployment.run(pausedAfterMillis);
        fixture.deployment.pause(fixture.router(1), 1_500);
        fixture.deployment.run(2_500);
        sendIssueCall(fixture, 2, "key");
        fixture.deployment.run(5_000);

        assertThat(caller.isFinished()).isTrue();
        checkInvariants(fixture);
    }

    @Test
    void should_replay_answers_that_were_sealed_into_segments() {
        Fixture fixture = Fixture.started(5, 1, settings -> settings.ledgerSegmentBytes(1_000));
        for (int call = 0; call < 60; call++) {
            sendIssueCall(fixture, 1, "key-" + call);
            fixture.deployment.run(60);
        }
        assertThat(fixture.deployment.counter("ledger.segments")).isGreaterThan(2);
        fixture.deployment.kill(fixture.router(1));
        fixture.deployment.run(5_000);
        List<CallerRecord> repeatedCalls = new ArrayList<>();
        for (int call = 0; call < 60; call++) {
            repeatedCalls.add(sendIssueCall(fixture, 2 + call % 2, "key-" + call));
            fixture.deployment.run(20);
        }
        fixture.deployment.run(3_000);

        assertThat(repeatedCalls)
                .allSatisfy(caller -> assertThat(caller.lastAnswer())
                        .isInstanceOfSatisfying(
                                CallerAnswer.Result.class,
                                result -> assertThat(result.replayed()).isTrue()));
        checkInvariants(fixture);
    }

    @Test
    void should_drop_sealed_answers_past_their_retention_from_the_store() {
        Fixture fixture = Fixture.started(
                9, 1, settings -> settings.ledgerSegmentBytes(1_000).ledgerRetentionMillis(2_000));
        for (int call = 0; call < 300; call++) {
            sendIssueCall(fixture, 1, "key-" + call);
            fixture.deployment.run(60);
        }
        fixture.deployment.run(1_000);

        long sealed = fixture.deployment.counter("ledger.segments");
        assertThat(sealed).isGreaterThan(15);
        assertThat(fixture.deployment.store().size()).isLessThan((int) sealed / 2);
        checkInvariants(fixture);
    }

    @Test
    void should_free_the_key_of_a_call_that_was_refused_as_not_run() {
        Fixture fixture = Fixture.started(6);
        fixture.faults.serviceConnectionRefusalRate = 1;
        CallerRecord refused = sendIssueCall(fixture, 1, "key");
        fixture.deployment.run(1_000);
        fixture.faults.clear();
        fixture.deployment.run(3_000);
        CallerRecord repeatedCall = sendIssueCall(fixture, 2, "key");
        fixture.deployment.run(1_000);

        assertThat(refused.refusal().code().mayHaveRun()).isFalse();
        assertThat(repeatedCall.lastAnswer()).isInstanceOf(CallerAnswer.Result.class);
        checkInvariants(fixture);
    }

    @Test
    void should_never_say_not_run_of_a_repeatable_call_whose_first_attempt_may_have_run() {
        Fixture fixture = Fixture.started(8);
        ServiceCall read = new ServiceCall("certificates", "GET", "/list", "", new byte[0], "", 500, "");
        fixture.faults.serviceResponseLossRate = 1;
        CallerRecord caller = fixture.deployment.service(fixture.router(1), Fixture.ALPHA_KEY, read);
        fixture.deployment.runUntil(() -> !fixture.deployment.runsByRequest().isEmpty(), 100);
        fixture.faults.serviceConnectionRefusalRate = 1;
        fixture.deployment.run(1_000);

        assertThat(caller.refusal()).isNotNull();
        assertThat(caller.refusal().code().mayHaveRun()).isTrue();
        checkInvariants(fixture);
    }

    @Test
    void should_never_send_a_call_again_whose_connection_broke() {
        Fixture fixture = Fixture.started(7);
        fixture.faults.serviceResponseLossRate = 1;
        CallerRecord first = sendIssueCall(fixture, 1, "key");
        fixture.deployment.run(500);
        fixture.faults.clear();
        CallerRecord second = sendIssueCall(fixture, 2, "key");
        fixture.deployment.run(500);

        assertThat(first.refusal().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(second.refusal().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(fixture.deployment.runsByKey()).containsEntry("alpha/key", 1);
    }
}
