package org.fuchsiatrail.proofs;

import java.util.List;
import java.util.Map;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks that must hold for every history; they use only what callers, services and engines observed. */
final class Invariants {

    private Invariants() {}

    /**
     * Checks that tokens arrived in order with the expected text, and that the end arrived only after the last token.
     */
    static void checkStream(CallerRecord caller, ChatCall call, ModelVersion model, long firstPosition) {
        long nextPosition = firstPosition;
        for (CallerAnswer answer : caller.answers()) {
            if (answer instanceof CallerAnswer.Token token) {
                assertThat(token.position())
                        .as("position in %s", caller.request())
                        .isEqualTo(nextPosition);
                nextPosition++;
            }
        }
        String expected = Fixture.referenceAnswer(call, model, firstPosition);
        assertThat(expected).as("text of %s", caller.request()).startsWith(caller.text());
        if (caller.lastAnswer() instanceof CallerAnswer.End end) {
            assertThat(caller.text()).isEqualTo(expected);
            assertThat(end.count()).isEqualTo(call.maximumTokens());
        }
    }

    /** Checks that no idempotency key ran twice. */
    static void checkAtMostOnce(VirtualDeployment deployment) {
        for (Map.Entry<String, Integer> runs : deployment.runsByKey().entrySet()) {
            assertThat(runs.getValue()).as("runs of %s", runs.getKey()).isLessThanOrEqualTo(1);
        }
    }

    /** Checks that requests refused with a code that rules out execution did not run. */
    static void checkNotExecutedRefusals(VirtualDeployment deployment, List<CallerRecord> callers) {
        for (CallerRecord caller : callers) {
            CallerAnswer.Refusal refusal = caller.refusal();
            if (refusal != null && !refusal.code().mayHaveRun()) {
                assertThat(deployment.runsByRequest().getOrDefault(caller.request(), 0))
                        .as("runs of %s, refused with %s", caller.request(), refusal.code())
                        .isZero();
            }
        }
    }

    /** Checks that refusals which a later retry can overcome have a retry time. */
    static void checkRetryTime(CallerRecord caller) {
        CallerAnswer.Refusal refusal = caller.refusal();
        boolean retryable = refusal != null
                && (refusal.code() == ResultCode.OVERLOADED || refusal.code() == ResultCode.LEDGER_UNAVAILABLE);
        if (retryable) {
            assertThat(refusal.retryAfterMillis()).isPositive();
        }
    }
}
