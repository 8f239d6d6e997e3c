package org.fuchsiatrail.proofs;

import java.util.List;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.ServiceOutcome;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;
import org.fuchsiatrail.standins.drive.VirtualRouter;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that get no answer because an input that concerns them throws. */
class RequestLostByFailedInputTest {

    private static final long DEADLINE_MILLIS = 5_000;
    private static final long ANSWER_MILLIS = 1_000;

    private final Fixture fixture = Fixture.started(1);
    private final VirtualDeployment deployment = fixture.deployment;
    private final VirtualRouter router = fixture.router(1);

    private AttemptId attempt(String suffix) {
        return new AttemptId(router.vm().id() + "-" + router.incarnation() + "-" + suffix);
    }

    private void runUntilCounted(String counter) {
        assertThat(deployment.runUntil(() -> deployment.counter(counter) > 0, ANSWER_MILLIS))
                .isTrue();
    }

    private void assertRefused(CallerRecord caller, ResultCode code) {
        deployment.runUntil(caller::isFinished, ANSWER_MILLIS);
        assertThat(deployment.counter("inputs.failed")).isEqualTo(1);
        assertThat(caller.isFinished()).isTrue();
        assertThat(caller.refusal().code()).isEqualTo(code);
    }

    @Test
    void should_refuse_a_chat_request_that_cannot_be_handled_and_complete_the_one_behind_it() {
        CallerRecord failing = deployment.chat(router, Fixture.ALPHA_KEY, Fixture.chatCall(null, 3));
        CallerRecord sound = deployment.chat(router, Fixture.ALPHA_KEY, Fixture.chatCall(Fixture.prompt("core", 2), 3));
        assertRefused(failing, ResultCode.NOT_HANDLED);
        deployment.runUntil(sound::isFinished, DEADLINE_MILLIS);
        assertThat(VirtualDeployment.isComplete(sound)).isTrue();
    }

    @Test
    void should_refuse_a_service_call_that_cannot_be_claimed() {
        ServiceCall withoutBody =
                new ServiceCall("certificates", "POST", "/issue", "text/plain", null, "key", DEADLINE_MILLIS, "");
        assertRefused(deployment.service(router, Fixture.ALPHA_KEY, withoutBody), ResultCode.NOT_HANDLED);
        assertThat(deployment.runsByKey()).isEmpty();
    }

    @Test
    void should_complete_a_chat_request_after_an_engine_event_that_cannot_be_handled() {
        CallerRecord caller =
                deployment.chat(router, Fixture.ALPHA_KEY, Fixture.chatCall(Fixture.prompt("core", 2), 25));
        runUntilCounted("attempts.chat");
        deployment.inject(router, List.of(new Input.EngineSpoke(attempt("1"), new EngineEvent.Started(null, 0, 0))));
        deployment.runUntil(caller::isFinished, DEADLINE_MILLIS);
        assertThat(deployment.counter("inputs.failed")).isEqualTo(1);
        assertThat(VirtualDeployment.isComplete(caller)).isTrue();
    }

    @Test
    void should_end_a_service_call_whose_outcome_cannot_be_handled() {
        CallerRecord caller = deployment.service(router, Fixture.ALPHA_KEY, Fixture.issueCall("key", DEADLINE_MILLIS));
        runUntilCounted("attempts.service");
        ServiceOutcome outcome = new ServiceOutcome.Answered(null, 200, "", new byte[0]);
        deployment.inject(router, List.of(new Input.ServiceEnded(attempt("s2"), outcome)));
        assertRefused(caller, ResultCode.OUTCOME_UNKNOWN);
    }
}
