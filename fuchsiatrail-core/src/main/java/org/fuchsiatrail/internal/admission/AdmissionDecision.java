package org.fuchsiatrail.internal.admission;

import org.fuchsiatrail.ResultCode;

/**
 * Decides whether a request is sent, waits in the router or is refused.
 *
 * <p>Load pattern: a burst or a few large customers ask for more than the upstreams take. What may still be answered in
 * time waits for a place, the most urgent request first; what would only delay others is refused at once.
 */
public final class AdmissionDecision {

    /** The longest predicted time to an answer during a burst, as a multiple of the latency target. */
    private static final double BURST_LATENESS = 1.5;

    /** The same for short prompts, which take little capacity from other requests even when they are answered late. */
    private static final double SHORT_PROMPT_LATENESS = 4;

    /** The longest time between two looks at a waiting request, in milliseconds. */
    private static final long LOOK_INTERVAL_MILLIS = 25;

    private AdmissionDecision() {}

    /** Where the request would go. */
    public sealed interface Target {}

    /**
     * An upstream that has a place.
     *
     * @param predictedMillis the expected time to the first event or the answer
     * @param idle whether the request would wait for no other one there
     */
    public record AtUpstream(double predictedMillis, boolean idle) implements Target {}

    /** All upstreams that may receive the request are believed full, or their free places belong to others. */
    public record AllFull() implements Target {}

    /**
     * What is known of the request and of its service.
     *
     * @param target where it would go
     * @param firstAttempt whether it was sent to no upstream yet
     * @param budgetLeft whether the retry budget allows another send
     * @param mayWaitForBudget whether it may wait for the retry budget: it has certainly not run, or its stream goes on
     * @param shortPrompt whether its prompt is short
     * @param queueStands whether none of its kind could expect an answer in time for a while
     * @param ahead the waiting requests of this router that come before it
     * @param placeMillis how long a place of this router takes to come free, in milliseconds, or 0 if unknown
     * @param latencyTargetMillis its latency target
     * @param waitUntilMillis until when it may wait for an upstream
     * @param deadlineMillis its deadline
     * @param nowMillis the time
     */
    public record Situation(
            Target target,
            boolean firstAttempt,
            boolean budgetLeft,
            boolean mayWaitForBudget,
            boolean shortPrompt,
            boolean queueStands,
            int ahead,
            double placeMillis,
            long latencyTargetMillis,
            long waitUntilMillis,
            long deadlineMillis,
            long nowMillis) {

        private long placeExpectedMillis() {
            return Math.round(placeMillis * (ahead + 1));
        }

        private boolean isWorthWaiting() {
            return nowMillis + placeExpectedMillis() < waitUntilMillis;
        }

        private SendDecision waitUntilNextLook() {
            return new SendDecision.Wait(Math.min(waitUntilMillis, nowMillis + LOOK_INTERVAL_MILLIS));
        }

        private double maximumPredictedMillis(boolean idle) {
            long remainingMillis = deadlineMillis - nowMillis;
            if (idle) {
                // Late by its own size only.
                return remainingMillis;
            }
            double burstLateness = queueStands ? 1 : BURST_LATENESS;
            return Math.min(
                    remainingMillis, latencyTargetMillis * (shortPrompt ? SHORT_PROMPT_LATENESS : burstLateness));
        }
    }

    /**
     * Decides what becomes of a request.
     *
     * @param situation what is known
     * @return the decision
     */
    public static SendDecision decide(Situation situation) {
        return switch (situation.target()) {
            case AllFull full ->
                situation.isWorthWaiting()
                        ? situation.waitUntilNextLook()
                        : new SendDecision.Refuse(
                                ResultCode.OVERLOADED, situation.placeExpectedMillis(), "all upstreams are full");
            case AtUpstream upstream -> decideAt(situation, upstream);
        };
    }

    private static SendDecision decideAt(Situation situation, AtUpstream upstream) {
        double predictedMillis = upstream.predictedMillis();
        if (situation.firstAttempt() && predictedMillis > situation.maximumPredictedMillis(upstream.idle())) {
            long excessMillis = Math.round(predictedMillis - situation.latencyTargetMillis() / 2.0);
            return new SendDecision.Refuse(
                    ResultCode.OVERLOADED, excessMillis, "predicted " + Math.round(predictedMillis));
        }
        if (situation.firstAttempt() || situation.budgetLeft()) {
            return new SendDecision.Send();
        }
        return situation.mayWaitForBudget() && situation.nowMillis() < situation.waitUntilMillis()
                ? situation.waitUntilNextLook()
                : new SendDecision.Refuse(
                        ResultCode.NO_UPSTREAM, situation.placeExpectedMillis(), "retry budget is spent");
    }
}
