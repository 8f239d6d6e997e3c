package org.fuchsiatrail.internal.limits;

/** The decision on a request of a customer with a limit. */
public sealed interface LimitDecision {

    /**
     * The request may be sent.
     *
     * @param amount the amount for which it counts, 0 if it does not count
     */
    record Admitted(long amount) implements LimitDecision {}

    /**
     * The request is refused.
     *
     * @param amount the amount for which it would count
     * @param retryMillis when the allowance is back for it, in milliseconds
     * @param used what all routers that are known of admitted in the last window
     * @param perSecond the amount a second that they may admit now
     * @param ownPerSecond this router's part of that
     * @param routers the number of these routers
     * @param listed the number of all routers
     */
    record Refused(
            long amount, long retryMillis, long used, long perSecond, long ownPerSecond, long routers, long listed)
            implements LimitDecision {}
}
