package org.fuchsiatrail.internal.admission;

import org.fuchsiatrail.ResultCode;

/**
 * Decides by the predicted time of a request alone whether it is sent, waits or is refused.
 *
 * <p>Load pattern: a few routers that hear of each other's requests at once. The upstream with the shortest predicted
 * time seldom turns a request away; a request that even this one would answer far too late is refused.
 */
public final class PredictedTimeDecision {

    /** The longest predicted time to an answer, as a multiple of the latency target. */
    private static final double MAXIMUM_LATENESS = 1.5;

    /** The same for short prompts, which take little capacity from other requests even when they are answered late. */
    private static final double MAXIMUM_SHORT_PROMPT_LATENESS = 4;

    /** The longest time between two looks at a waiting request, in milliseconds. */
    private static final long LOOK_INTERVAL_MILLIS = 25;

    /** The shortest and the longest return time, in milliseconds. */
    private static final long MINIMUM_RETURN_MILLIS = 100;

    private static final long MAXIMUM_RETURN_MILLIS = 1_000;

    /** The return time when the retry budget is spent, in milliseconds. */
    private static final long SPENT_BUDGET_RETURN_MILLIS = 500;

    private PredictedTimeDecision() {}

    /**
     * What is known of the request and of the upstream that would answer it first.
     *
     * @param predictedMillis the predicted time to the first event or the answer
     * @param firstAttempt whether it was sent to no upstream yet
     * @param budgetLeft whether the retry budget allows another send
     * @param shortPrompt whether its prompt is short
     * @param streamBegun whether part of its stream was passed on
     * @param latencyTargetMillis its latency target
     * @param waitUntilMillis until when it may wait for an upstream
     * @param deadlineMillis its deadline
     * @param nowMillis the time
     */
    public record Situation(
            double predictedMillis,
            boolean firstAttempt,
            boolean budgetLeft,
            boolean shortPrompt,
            boolean streamBegun,
            long latencyTargetMillis,
            long waitUntilMillis,
            long deadlineMillis,
            long nowMillis) {

        private long maximumPredictedMillis() {
            double lateness = shortPrompt ? MAXIMUM_SHORT_PROMPT_LATENESS : MAXIMUM_LATENESS;
            return Math.min(deadlineMillis - nowMillis, (long) (latencyTargetMillis * lateness));
        }

        private long returnMillis() {
            long excessMillis = Math.round(predictedMillis - latencyTargetMillis / 2.0);
            return Math.clamp(excessMillis, MINIMUM_RETURN_MILLIS, MAXIMUM_RETURN_MILLIS);
        }
    }

    /**
     * Decides what becomes of a request.
     *
     * @param situation what is known
     * @return the decision
     */
    public static SendDecision decide(Situation situation) {
        if (situation.firstAttempt()) {
            return situation.predictedMillis() > situation.maximumPredictedMillis()
                    ? new SendDecision.Refuse(
                            ResultCode.OVERLOADED,
                            situation.returnMillis(),
                            "predicted " + Math.round(situation.predictedMillis()))
                    : new SendDecision.Send();
        }
        if (situation.budgetLeft()) {
            return new SendDecision.Send();
        }
        return situation.streamBegun() && situation.nowMillis() < situation.waitUntilMillis()
                ? new SendDecision.Wait(
                        Math.min(situation.waitUntilMillis(), situation.nowMillis() + LOOK_INTERVAL_MILLIS))
                : new SendDecision.Refuse(ResultCode.NO_UPSTREAM, SPENT_BUDGET_RETURN_MILLIS, "retry budget is spent");
    }
}
