package org.fuchsiatrail.internal.limits;

/**
 * The number of routers among which limits are divided: the most that the store listed lately. A router that is cut off
 * from the store leaves the list, but goes on with its part.
 */
final class ListedRouters {

    /** How long a router keeps its part after it left the list, in milliseconds. */
    private static final long RETENTION_MILLIS = 30_000;

    private long count;
    private long confirmedAtMillis;
    private long largestSince;

    /** Records the number of listed routers. */
    void observe(long listed, long nowMillis) {
        if (listed >= count) {
            count = listed;
            confirmedAtMillis = nowMillis;
            largestSince = 0;
            return;
        }
        largestSince = Math.max(largestSince, listed);
        if (nowMillis - confirmedAtMillis >= RETENTION_MILLIS) {
            count = largestSince;
            confirmedAtMillis = nowMillis;
            largestSince = 0;
        }
    }

    long count() {
        return count;
    }
}
