package org.fuchsiatrail.internal.load;

import java.util.Optional;

/**
 * Selects the candidate of the lowest cost among those that are expected to answer in time, or among all when none is.
 *
 * <p>Load pattern: a hot session whose home engine has a queue while other engines idle. Waiting for the cached parts
 * at home saves work, but a request that would be late there goes to an engine that answers in time.
 *
 * @param <C> the type of a candidate
 */
public final class TimelyChoice<C> {

    private final double allowedMillis;
    private C best;
    private boolean bestInTime;
    private double bestCostMillis;

    /**
     * Creates a choice without candidates.
     *
     * @param allowedMillis the predicted time up to which a request is in time
     */
    public TimelyChoice(double allowedMillis) {
        this.allowedMillis = allowedMillis;
    }

    /**
     * Adds a candidate.
     *
     * @param candidate the candidate
     * @param answerMillis the predicted time to the first event there, with what makes the answer worth less
     * @param costMillis the expected cost there, in milliseconds of a caller's waiting time
     */
    public void offer(C candidate, double answerMillis, double costMillis) {
        boolean inTime = answerMillis <= allowedMillis;
        boolean better = best == null || (inTime == bestInTime ? costMillis < bestCostMillis : inTime);
        if (better) {
            best = candidate;
            bestInTime = inTime;
            bestCostMillis = costMillis;
        }
    }

    /**
     * Returns the selected candidate.
     *
     * @return the candidate, or empty when there was none
     */
    public Optional<C> best() {
        return Optional.ofNullable(best);
    }
}
