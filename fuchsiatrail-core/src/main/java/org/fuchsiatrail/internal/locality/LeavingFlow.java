package org.fuchsiatrail.internal.locality;

/** The share of one service's requests that lasting differences between failure domains have asked to leave. */
public final class LeavingFlow {

    /** In which time the share falls by half, in milliseconds; twice the age of news that still counts. */
    private static final double HALF_LIFE_MILLIS = 2_000;

    private double share;
    private long updatedAtMillis = Long.MIN_VALUE;

    /** Returns the share at a time, 0 to 1. */
    public double share(long nowMillis) {
        return updatedAtMillis == Long.MIN_VALUE
                ? 0
                : share * Math.pow(0.5, (nowMillis - updatedAtMillis) / HALF_LIFE_MILLIS);
    }

    /**
     * Adds what the difference that a request found asked for.
     *
     * @param askedShare the share that it asked for
     * @param newsMillis the age of the news, in milliseconds; in that time a difference that stays adds its whole share
     * @param nowMillis the time
     */
    public void record(double askedShare, double newsMillis, long nowMillis) {
        long elapsedMillis = updatedAtMillis == Long.MIN_VALUE ? 0 : nowMillis - updatedAtMillis;
        double added = askedShare * Math.min(1, elapsedMillis / Math.max(1, newsMillis));
        share = Math.min(1, share(nowMillis) + added);
        updatedAtMillis = nowMillis;
    }
}
