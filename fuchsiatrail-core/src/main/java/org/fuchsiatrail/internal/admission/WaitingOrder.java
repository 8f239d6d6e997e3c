package org.fuchsiatrail.internal.admission;

import java.util.Collection;

/**
 * The order of the requests that wait in a router for a place.
 *
 * <p>Load pattern: long, less urgent requests wait for full upstreams while short, urgent ones arrive. The more urgent
 * one goes first, then the one whose latency target passes first.
 */
public final class WaitingOrder {

    private WaitingOrder() {}

    /**
     * A waiting request.
     *
     * @param priority its priority; 0 is the most urgent
     * @param dueMillis when its latency target passes
     */
    public record Waiting(int priority, long dueMillis) {

        private boolean isBefore(Waiting other) {
            return priority != other.priority ? priority < other.priority : dueMillis < other.dueMillis;
        }
    }

    /**
     * Counts the requests that go before another one.
     *
     * @param request the request
     * @param waiting the requests that wait for the same service
     * @return their number
     */
    public static int ahead(Waiting request, Collection<Waiting> waiting) {
        return (int) waiting.stream().filter(other -> other.isBefore(request)).count();
    }
}
