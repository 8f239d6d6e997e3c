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

/** Promises 2 and 4: every stream complete and in order, and every answer its own caller's. */
class StreamProofTest {

    private static final int TOKENS = 25;
    private final ChatCall call = Fixture.chat(Fixture.prompt("core", 20), TOKENS);

    private UpstreamId busyEngine(Fixture fixture) {
        return fixture.deployment.engines().values().stream()
                .filter(engine -> !engine.requests().isEmpty())
                .findFirst()
                .orElseThrow()
                .traits()
                .id();
    }

    private long tokens(CallerRecord caller) {
        return caller.answers().stream()
                .filter(CallerAnswer.Token.class::isInstance)
                .count();
    }

    private CallerRecord ask(Fixture fixture, int router, ChatCall asked) {
        return fixture.deployment.chat(fixture.router(router), Fixture.ALPHA_KEY, asked);
    }

    private void finish(Fixture fixture, CallerRecord caller) {
        fixture.deployment.runUntil(() -> caller.isOver() || caller.connectionLost(), 30_000);
        Invariants.checkStream(caller, call, Fixture.TUTOR, 0);
    }

    @Test
    void should_give_the_answer_that_one_engine_without_faults_gives() {
        Fixture fixture = Fixture.started(1);
        CallerRecord caller = ask(fixture, 1, call);
        finish(fixture, caller);
        assertThat(VirtualDeployment.isWhole(caller)).isTrue();
    }

    @Test
    void should_be_whole_when_the_engine_crashes_at_any_token() {
        for (int position = 0; position < TOKENS; position++) {
            int reached = position;
            Fixture fixture = Fixture.started(100 + position);
            CallerRecord caller = ask(fixture, 1 + position % 3, call);
            fixture.deployment.runUntil(() -> tokens(caller) >= reached && fixture.deployment.starts() > 0, 5_000);
            fixture.deployment.crash(busyEngine(fixture), 1_000);
            finish(fixture, caller);
            assertThat(VirtualDeployment.isWhole(caller))
                    .as("crash at token %d", position)
                    .isTrue();
        }
    }

    @Test
    void should_be_whole_when_the_engine_freezes_and_thaws() {
        for (int position = 0; position < TOKENS; position += 4) {
            int reached = position;
            Fixture fixture = Fixture.started(200 + position);
            CallerRecord caller = ask(fixture, 1, call);
            fixture.deployment.runUntil(() -> tokens(caller) >= reached && fixture.deployment.starts() > 0, 5_000);
            fixture.deployment.freeze(busyEngine(fixture), 40_000);
            finish(fixture, caller);
            assertThat(VirtualDeployment.isWhole(caller))
                    .as("freeze at token %d", position)
                    .isTrue();
            fixture.deployment.run(45_000);
            Invariants.checkStream(caller, call, Fixture.TUTOR, 0);
        }
    }

    @Test
    void should_go_on_at_another_router_after_a_router_is_killed() {
        for (int position = 1; position < TOKENS; position++) {
            int reached = position;
            Fixture fixture = Fixture.started(300 + position);
            CallerRecord first = ask(fixture, 1, call);
            fixture.deployment.runUntil(() -> tokens(first) >= reached, 5_000);
            fixture.deployment.kill(fixture.router(1));
            CallerAnswer.Token last = (CallerAnswer.Token) first.last();
            CallerRecord second = ask(fixture, 2, Fixture.resumed(call, last.eventId()));
            fixture.deployment.runUntil(second::isOver, 30_000);

            assertThat(VirtualDeployment.isWhole(second)).isTrue();
            assertThat(first.text() + second.text()).isEqualTo(Fixture.naiveAnswer(call, Fixture.TUTOR, 0));
        }
    }

    @Test
    void should_refuse_a_resume_token_of_another_request_or_customer() {
        Fixture fixture = Fixture.started(2);
        CallerRecord first = ask(fixture, 1, call);
        finish(fixture, first);
        String token = ((CallerAnswer.Token) first.answers().get(3)).eventId();
        ChatCall other = Fixture.resumed(Fixture.chat(Fixture.prompt("other", 20), TOKENS), token);
        CallerRecord otherRequest = ask(fixture, 2, other);
        CallerRecord otherCustomer =
                fixture.deployment.chat(fixture.router(2), Fixture.BETA_KEY, Fixture.resumed(call, token));
        CallerRecord forged = ask(fixture, 2, Fixture.resumed(call, "9~tutor@v1~000000000000000000000000"));
        fixture.deployment.run(100);

        for (CallerRecord caller : List.of(otherRequest, otherCustomer, forged)) {
            assertThat(caller.refusal().code()).isEqualTo(ResultCode.RESUME_TOKEN_INVALID);
        }
    }

    @Test
    void should_be_whole_when_engine_events_are_lost_repeated_or_given_to_others() {
        for (long seed = 400; seed < 420; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.faults.engineEventsLost = seed % 2 == 0 ? 0.02 : 0;
            fixture.faults.engineEventsRepeated = 0.3;
            fixture.faults.engineEventsCrossed = 0.3;
            List<ChatCall> calls = new ArrayList<>();
            List<CallerRecord> callers = new ArrayList<>();
            for (int number = 0; number < 8; number++) {
                ChatCall asked = Fixture.chat(Fixture.prompt("subject " + number, 10 + number), TOKENS);
                calls.add(asked);
                callers.add(ask(fixture, 1 + number % 3, asked));
            }
            fixture.deployment.runUntil(() -> fixture.allOver(callers), 60_000);
            for (int number = 0; number < 8; number++) {
                Invariants.checkStream(callers.get(number), calls.get(number), Fixture.TUTOR, 0);
                assertThat(callers.get(number).isOver()).isTrue();
            }
            assertThat(callers).filteredOn(VirtualDeployment::isWhole).hasSizeGreaterThanOrEqualTo(7);
            assertThat(fixture.deployment.counter("streams.crossed-events")
                            + fixture.deployment.counter("streams.late-events"))
                    .isPositive();
        }
    }

    @Test
    void should_cancel_the_engines_work_when_the_caller_leaves() {
        Fixture fixture = Fixture.started(3);
        CallerRecord caller = ask(fixture, 1, Fixture.chat(Fixture.prompt("core", 20), 1_000));
        fixture.deployment.runUntil(() -> tokens(caller) > 3, 5_000);
        fixture.deployment.leave(caller);
        fixture.deployment.run(50);

        assertThat(fixture.deployment.engines().values())
                .allMatch(engine -> engine.requests().isEmpty());
    }

    @Test
    void should_never_end_a_stream_as_whole_when_no_engine_is_left() {
        Fixture fixture = Fixture.started(4);
        CallerRecord caller = ask(fixture, 1, call);
        fixture.deployment.runUntil(() -> tokens(caller) > 3, 5_000);
        for (int engine = 1; engine <= Fixture.ENGINES; engine++) {
            fixture.deployment.crash(Fixture.engineId(engine), 60_000);
        }
        finish(fixture, caller);

        assertThat(caller.refusal().code()).isEqualTo(ResultCode.UPSTREAM_FAILED);
        assertThat(caller.refusal().retryAfterMillis()).isPositive();
    }
}
