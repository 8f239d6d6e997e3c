package org.fuchsiatrail.internal.limits;

/**
 * Allows retries in proportion to first attempts, so that retries cannot multiply load when upstreams fail.
 *
 * <p>Each first attempt adds a part of a token, each retry takes a whole one.
 */
public final class RetryBudget {

    /** Tokens kept for retries at low load. */
    private static final double RESERVE = 10;

    /** The most tokens that can be saved up. */
    private static final double LARGEST = 50;

    private final double ratio;
    private double tokens = RESERVE;

    /**
     * Creates a budget with its reserve.
     *
     * @param ratio retries allowed for each first attempt
     */
    public RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    /** Counts a first attempt. */
    public void firstAttempt() {
        tokens = Math.min(LARGEST, tokens + ratio);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return false when none is left
     */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
