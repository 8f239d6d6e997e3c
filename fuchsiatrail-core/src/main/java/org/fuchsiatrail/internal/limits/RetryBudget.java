package org.fuchsiatrail.internal.limits;

/**
 * Limits retries in proportion to first attempts, so that retries cannot multiply load when upstreams fail.
 *
 * <p>A token bucket: each first attempt adds a fraction of a token, and each retry consumes a whole one.
 */
public final class RetryBudget {

    /** The initial balance, in tokens, which allows retries at low load. */
    private static final double INITIAL_TOKENS = 10;

    /** The maximum balance, in tokens. */
    private static final double MAXIMUM_TOKENS = 50;

    private final double ratio;
    private double tokens = INITIAL_TOKENS;

    /**
     * Creates a budget with the initial balance.
     *
     * @param ratio retries allowed for each first attempt
     */
    public RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    /** Adds the fraction of a token that a first attempt allows for retries. */
    public void recordFirstAttempt() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + ratio);
    }

    /**
     * Consumes a token for a retry.
     *
     * @return false when no whole token is left
     */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
