package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayDeque;

/**
 * Limits the retries that one router sends to one service within a sliding window.
 *
 * <p>Load pattern: engines that fail together cause retries at every router at once. One limit applies to all routers
 * together, so each uses the share that belongs to the requests it received, and an equal share of the reserve.
 */
final class WindowedRetryBudget {

    /** The usable fraction of the allowance; the rest is a margin for requests at the edge of the window. */
    private static final double USABLE_FRACTION = 0.9;

    private final double ratio;
    private final long windowMillis;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();

    WindowedRetryBudget(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
    }

    void recordRequest(long nowMillis) {
        requests.add(nowMillis);
        removeExpired(nowMillis);
    }

    /** Takes the latest request back, which another router counts. */
    void returnRequest() {
        requests.pollLast();
    }

    /**
     * Takes one retry from the budget if one is left; {@code reserve} is this router's share of the reserve.
     */
    boolean tryRetry(long nowMillis, double reserve) {
        boolean allowed = mayRetry(nowMillis, reserve);
        if (allowed) {
            retries.add(nowMillis);
        }
        return allowed;
    }

    /** Gives back the latest retry. */
    void returnRetry() {
        retries.pollLast();
    }

    /** Returns whether a retry is left. */
    boolean mayRetry(long nowMillis, double reserve) {
        removeExpired(nowMillis);
        return retries.size() + 1 <= USABLE_FRACTION * (ratio * requests.size() + reserve);
    }

    private void removeExpired(long nowMillis) {
        while (!requests.isEmpty() && requests.peek() < nowMillis - windowMillis) {
            requests.poll();
        }
        while (!retries.isEmpty() && retries.peek() < nowMillis - windowMillis) {
            retries.poll();
        }
    }
}
