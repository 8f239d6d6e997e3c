package org.fuchsiatrail.internal.admission;

/**
 * How fast the upstreams of a service complete requests, by Little's law: the requests in flight from all routers,
 * divided by the time that this router's own ones stay there.
 *
 * <p>Load pattern: one of hundreds of routers sees too few completions to count those of all.
 */
public final class CompletionRate {

    private static final double SMOOTHING = 0.1;

    private double stayMillis;

    /**
     * Records a request that an upstream has completed.
     *
     * @param millis the time from its send to its end, in milliseconds
     */
    public void record(long millis) {
        stayMillis =
                stayMillis == 0 ? Math.max(1, millis) : stayMillis + SMOOTHING * (Math.max(1, millis) - stayMillis);
    }

    /**
     * Returns how long a request stays at an upstream.
     *
     * @return the time in milliseconds, or 0 while nothing has completed
     */
    public double stayMillis() {
        return stayMillis;
    }

    /**
     * Returns how long one of several routers waits for its share of the next place.
     *
     * @param occupancy the requests in flight from all routers
     * @param routers the routers that share what comes free
     * @return the time in milliseconds, or 0 while nothing has completed or nothing is in flight
     */
    public double placeMillis(int occupancy, int routers) {
        return occupancy <= 0 ? 0 : stayMillis * Math.max(1, routers) / occupancy;
    }
}
