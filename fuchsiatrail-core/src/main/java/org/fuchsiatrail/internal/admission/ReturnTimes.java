package org.fuchsiatrail.internal.admission;

import java.util.random.RandomGenerator;

/**
 * When refused callers may come back: one after the other, as places of this router come free.
 *
 * <p>Load pattern: callers that are refused together and come back together meet full upstreams again. A caller heeds a
 * return time only up to a part of the time that it has left, so none is told a later one.
 */
public final class ReturnTimes {

    private static final long MINIMUM_MILLIS = 100;

    private static final long MAXIMUM_MILLIS = 1_000;

    /** The part of its remaining time up to which a caller heeds a return time. */
    private static final int REMAINING_PARTS = 3;

    /** The return time of the last caller that was refused. */
    private double lastReturnAtMillis;

    /**
     * Books the return of a refused caller.
     *
     * @param placeMillis how long a place of this router takes to come free, in milliseconds, or 0 if unknown
     * @param leastMillis the least time after which a place is expected, in milliseconds
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @param nowMillis the time
     * @param random spreads those who are told the longest time
     * @return the return time, in milliseconds from now
     */
    public long book(
            double placeMillis, long leastMillis, long remainingMillis, long nowMillis, RandomGenerator random) {
        long latest = Math.clamp(remainingMillis / REMAINING_PARTS, MINIMUM_MILLIS, MAXIMUM_MILLIS);
        double next = Math.max(lastReturnAtMillis + placeMillis, nowMillis + Math.max(MINIMUM_MILLIS, leastMillis));
        if (next >= nowMillis + latest) {
            return latest - random.nextLong(latest / REMAINING_PARTS + 1);
        }
        lastReturnAtMillis = next;
        return Math.round(next - nowMillis);
    }
}
