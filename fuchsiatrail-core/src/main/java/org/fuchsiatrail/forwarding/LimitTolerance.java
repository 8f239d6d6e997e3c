package org.fuchsiatrail.forwarding;

/**
 * How exactly limits of customers hold over all routers, which learn from each other only after a while: in no window
 * is more used than the limit allows for it, plus a fraction of that, plus a reserve.
 *
 * @param windowMillis the window in which use is counted, in milliseconds
 * @param overPermille the fraction, in thousandths
 * @param reserve the reserve, in the unit of the limit
 */
public record LimitTolerance(long windowMillis, long overPermille, long reserve) {

    /** The shortest window; news between routers are older than a part of a shorter one. */
    public static final long MINIMUM_WINDOW_MILLIS = 4_000;

    /** A window without tolerance. */
    public static final LimitTolerance DEFAULTS = new LimitTolerance(8_000, 0, 0);

    /** Replaces a window that is too short. */
    public LimitTolerance {
        windowMillis = Math.max(MINIMUM_WINDOW_MILLIS, windowMillis);
    }

    /**
     * Returns the most that may be used in a window.
     *
     * @param limit the limit of a customer
     * @return the amount
     */
    public long perWindow(CustomerLimit limit) {
        long amount = exactPerWindow(limit);
        return amount + amount * overPermille / 1_000 + reserve;
    }

    /**
     * Returns what a limit allows in a window, without the tolerance.
     *
     * @param limit the limit of a customer
     * @return the amount
     */
    public long exactPerWindow(CustomerLimit limit) {
        return limit.perSecond() * windowMillis / 1_000 + limit.burst();
    }
}
