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

/** What must hold of every history, read only from what callers, services and engines saw. */
final class Invariants {

    private Invariants() {}

    /** Tokens came in order, each the right one, and an end came only after the last. */
    static void checkStream(CallerRecord caller, ChatCall call, ModelVersion model, long from) {
        long next = from;
        for (CallerAnswer answer : caller.answers()) {
            if (answer instanceof CallerAnswer.Token token) {
                assertThat(token.position())
                        .as("position in %s", caller.request())
                        .isEqualTo(next);
                next++;
            }
        }
        String naive = Fixture.naiveAnswer(call, model, from);
        assertThat(naive).as("text of %s", caller.request()).startsWith(caller.text());
        if (caller.last() instanceof CallerAnswer.End end) {
            assertThat(caller.text()).isEqualTo(naive);
            assertThat(end.count()).isEqualTo(call.maximumTokens());
        }
    }

    /** No key ran twice. */
    static void checkAtMostOnce(VirtualDeployment deployment) {
        for (Map.Entry<String, Integer> runs : deployment.runsByKey().entrySet()) {
            assertThat(runs.getValue()).as("runs of %s", runs.getKey()).isLessThanOrEqualTo(1);
        }
    }

    /** Whoever was told that a call did not run was told the truth. */
    static void checkNotRunIsTrue(VirtualDeployment deployment, List<CallerRecord> callers) {
        for (CallerRecord caller : callers) {
            CallerAnswer.Refusal refusal = caller.refusal();
            if (refusal != null && !refusal.code().mayHaveRun()) {
                assertThat(deployment.runsByRequest().getOrDefault(caller.request(), 0))
                        .as("runs of %s, refused with %s", caller.request(), refusal.code())
                        .isZero();
            }
        }
    }

    /** Refused requests carry a time to come back unless coming back is useless. */
    static void checkComeBack(CallerRecord caller) {
        CallerAnswer.Refusal refusal = caller.refusal();
        boolean hopeful = refusal != null
                && (refusal.code() == ResultCode.OVERLOADED || refusal.code() == ResultCode.LEDGER_UNAVAILABLE);
        if (hopeful) {
            assertThat(refusal.retryAfterMillis()).isPositive();
        }
    }
}
