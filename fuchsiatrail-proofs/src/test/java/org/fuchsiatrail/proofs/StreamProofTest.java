package org.fuchsiatrail.proofs;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Promises 2 and 4 of docs/PROOFS.md: every stream is complete and in order, and every answer belongs to its own
 * request.
 *
 * <p>Guards against missing or repeated tokens, or tokens of another request, when an engine or router fails during a
 * stream, or when engine events are lost, duplicated or delivered to another attempt.
 */
class StreamProofTest {

    private static final int TOKENS = 25;
    private final ChatCall call = Fixture.chatCall(Fixture.prompt("core", 20), TOKENS);

    private UpstreamId busyEngine(Fixture fixture) {
        return fixture.deployment.engines().values().stream()
                .filter(engine -> !engine.requests().isEmpty())
                .findFirst()
                .orElseThrow()
                .traits()
                .id();
    }

    private long tokenCount(CallerRecord caller) {
        return caller.answers().stream()
                .filter(CallerAnswer.Token.class::isInstance)
                .count();
    }

    private CallerRecord sendChat(Fixture fixture, int router, ChatCall chatCall) {
        return fixture.deployment.chat(fixture.router(router), Fixture.ALPHA_KEY, chatCall);
    }

    private void runToEndAndCheck(Fixture fixture, CallerRecord caller) {
        fixture.deployment.runUntil(() -> caller.isFinished() || caller.connectionLost(), 30_000);
        Invariants.checkStream(caller, call, Fixture.TUTOR_V1, 0);
    }

    @Test
    void should_return_the_same_answer_as_a_single_engine_without_faults() {
        Fixture fixture = Fixture.started(1);
        CallerRecord caller = sendChat(fixture, 1, call);
        runToEndAndCheck(fixture, caller);
        assertThat(VirtualDeployment.isComplete(caller)).isTrue();
    }

    @Test
    void should_be_complete_when_the_engine_crashes_at_any_token() {
        for (int position = 0; position < TOKENS; position++) {
            int minimumTokens = position;
            Fixture fixture = Fixture.started(100 + position);
            CallerRecord caller = sendChat(fixture, 1 + position % 3, call);
            fixture.deployment.runUntil(
                    () -> tokenCount(caller) >= minimumTokens && fixture.deployment.attemptCount() > 0, 5_000);
            fixture.deployment.crash(busyEngine(fixture), 1_000);
            runToEndAndCheck(fixture, caller);
            assertThat(VirtualDeployment.isComplete(caller))
                    .as("crash at token %d", position)
                    .isTrue();
        }
    }

    @Test
    void should_be_whole_when_the_engine_freezes_and_recovers() {
        for (int position = 0; position < TOKENS; position += 4) {
            int minimumTokens = position;
            Fixture fixture = Fixture.started(200 + position);
            CallerRecord caller = sendChat(fixture, 1, call);
            fixture.deployment.runUntil(
                    () -> tokenCount(caller) >= minimumTokens && fixture.deployment.attemptCount() > 0, 5_000);
            fixture.deployment.freeze(busyEngine(fixture), 40_000);
            runToEndAndCheck(fixture, caller);
            assertThat(VirtualDeployment.isComplete(caller))
                    .as("freeze at token %d", position)
                    .isTrue();
            fixture.deployment.run(45_000);
            Invariants.checkStream(caller, call, Fixture.TUTOR_V1, 0);
        }
    }

    @Test
    void should_go_on_at_another_router_after_a_router_is_killed() {
        for (int position = 1; position < TOKENS; position++) {
            int minimumTokens = position;
            Fixture fixture = Fixture.started(300 + position);
            CallerRecord first = sendChat(fixture, 1, call);
            fixture.deployment.runUntil(() -> tokenCount(first) >= minimumTokens, 5_000);
            fixture.deployment.kill(fixture.router(1));
            CallerAnswer.Token last = (CallerAnswer.Token) first.lastAnswer();
            CallerRecord second = sendChat(fixture, 2, Fixture.withResumeToken(call, last.eventId()));
            fixture.deployment.runUntil(second::isFinished, 30_000);

            assertThat(VirtualDeployment.isComplete(second)).isTrue();
            assertThat(first.text() + second.text()).isEqualTo(Fixture.referenceAnswer(call, Fixture.TUTOR_V1, 0));
        }
    }

    @Test
    void should_refuse_a_resume_token_of_another_request_or_customer() {
        Fixture fixture = Fixture.started(2);
        CallerRecord first = sendChat(fixture, 1, call);
        runToEndAndCheck(fixture, first);
        String token = ((CallerAnswer.Token) first.answers().get(3)).eventId();
        ChatCall other = Fixture.withResumeToken(Fixture.chatCall(Fixture.prompt("other", 20), TOKENS), token);
        CallerRecord otherRequest = sendChat(fixture, 2, other);
        CallerRecord otherCustomer =
                fixture.deployment.chat(fixture.router(2), Fixture.BETA_KEY, Fixture.withResumeToken(call, token));
        CallerRecord forged =
                sendChat(fixture, 2, Fixture.withResumeToken(call, "9~tutor@v1~000000000000000000000000"));
        fixture.deployment.run(100);

        for (CallerRecord caller : List.of(otherRequest, otherCustomer, forged)) {
            assertThat(caller.refusal().code()).isEqualTo(ResultCode.RESUME_TOKEN_INVALID);
        }
    }

    @Test
    void should_be_whole_when_engine_events_are_lost_duplicated_or_misdelivered() {
        for (long seed = 400; seed < 420; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.faults.engineEventLossRate = seed % 2 == 0 ? 0.02 : 0;
            fixture.faults.engineEventDuplicationRate = 0.3;
            fixture.faults.engineEventMisdeliveryRate = 0.3;
            List<ChatCall> calls = new ArrayList<>();
            List<CallerRecord> callers = new ArrayList<>();
            for (int number = 0; number < 8; number++) {
                ChatCall chatCall = Fixture.chatCall(Fixture.prompt("subject " + number, 10 + number), TOKENS);
                calls.add(chatCall);
                callers.add(sendChat(fixture, 1 + number % 3, chatCall));
            }
            fixture.deployment.runUntil(() -> fixture.allFinished(callers), 60_000);
            for (int number = 0; number < 8; number++) {
                Invariants.checkStream(callers.get(number), calls.get(number), Fixture.TUTOR_V1, 0);
                assertThat(callers.get(number).isFinished()).isTrue();
            }
            assertThat(callers).filteredOn(VirtualDeployment::isComplete).hasSizeGreaterThanOrEqualTo(7);
            assertThat(fixture.deployment.counter("streams.crossed-events")
                            + fixture.deployment.counter("streams.late-events"))
                    .isPositive();
        }
    }

    @Test
    void should_cancel_the_engines_work_when_the_caller_disconnects() {
        Fixture fixture = Fixture.started(3);
        CallerRecord caller = sendChat(fixture, 1, Fixture.chatCall(Fixture.prompt("core", 20), 1_000));
        fixture.deployment.runUntil(() -> tokenCount(caller) > 3, 5_000);
        fixture.deployment.disconnect(caller);
        fixture.deployment.run(50);

        assertThat(fixture.deployment.engines().values())
                .allMatch(engine -> engine.requests().isEmpty());
    }

    @Test
    void should_never_end_a_stream_as_complete_when_all_engines_are_down() {
        Fixture fixture = Fixture.started(4);
        CallerRecord caller = sendChat(fixture, 1, call);
        fixture.deployment.runUntil(() -> tokenCount(caller) > 3, 5_000);
        for (int engine = 1; engine <= Fixture.ENGINES; engine++) {
            fixture.deployment.crash(Fixture.engineId(engine), 60_000);
        }
        runToEndAndCheck(fixture, caller);

        assertThat(caller.refusal().code()).isEqualTo(ResultCode.UPSTREAM_FAILED);
        assertThat(caller.refusal().retryAfterMillis()).isPositive();
    }
}
