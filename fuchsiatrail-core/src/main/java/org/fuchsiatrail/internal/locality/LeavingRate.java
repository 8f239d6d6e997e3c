package org.fuchsiatrail.internal.locality;

/** Holds the requests that leave the failure domain to the most a second that operators allow. */
public final class LeavingRate {

    private final double maximumPerSecond;
    private double permits;
    private long updatedAtMillis = Long.MIN_VALUE;

    /** Creates a rate; an infinite maximum holds nothing back. */
    public LeavingRate(double maximumPerSecond) {
        this.maximumPerSecond = maximumPerSecond;
    }

    /** Returns whether another request may leave now. */
    public boolean permits(long nowMillis) {
        return available(nowMillis) >= 1;
    }

    /** Records that a request left. */
    public void record(long nowMillis) {
        permits = Math.max(0, available(nowMillis) - 1);
        updatedAtMillis = nowMillis;
    }

    private double available(long nowMillis) {
        if (Double.isInfinite(maximumPerSecond) || maximumPerSecond <= 0) {
            return maximumPerSecond;
        }
        double mostPermits = Math.max(1, maximumPerSecond);
        return updatedAtMillis == Long.MIN_VALUE
                ? mostPermits
                : Math.min(mostPermits, permits + maximumPerSecond * (nowMillis - updatedAtMillis) / 1_000);
    }
}
