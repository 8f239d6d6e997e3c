package org.fuchsiatrail.forwarding;

/**
 * What all requests of a customer together may use, over all routers.
 *
 * @param perSecond the amount a second
 * @param burst the amount that may be used at once after a time of less use
 * @param unit what is counted
 * @param undescribedTokens the tokens for which a request counts that does not tell its own
 */
public record CustomerLimit(long perSecond, long burst, Unit unit, long undescribedTokens) {

    /** What a limit counts. */
    public enum Unit {
        /** Each request counts as one. */
        REQUESTS,
        /** A request counts as the tokens of its prompt and those that it may generate. */
        TOKENS
    }

    /**
     * Returns the amount for which a request counts.
     *
     * @param call the request
     * @return at least 1
     */
    public long amount(ForwardedCall call) {
        if (unit == Unit.REQUESTS) {
            return 1;
        }
        long tokens = call.inputTokens() + call.maximumOutputTokens();
        return Math.max(1, tokens > 0 ? tokens : undescribedTokens);
    }
}
