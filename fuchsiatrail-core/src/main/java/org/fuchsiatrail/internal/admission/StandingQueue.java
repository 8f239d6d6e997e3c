package org.fuchsiatrail.internal.admission;

/**
 * Tells a lasting overload from a burst, as controlled delay does: by whether the shortest time to an answer has come
 * below the latency target within one latency target.
 *
 * <p>Load pattern: callers ask for more than the upstreams complete. If what will be late is accepted then, all that
 * come after are late too. A burst that is over soon leaves late answers, which callers prefer to refusals.
 */
public final class StandingQueue {

    private long inTimeAtMillis = Long.MIN_VALUE / 2;
    private long observedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Records the shortest time in which a request can expect its answer.
     *
     * @param predictedMillis the time, in milliseconds
     * @param latencyTargetMillis the latency target
     * @param nowMillis the time now
     */
    public void observe(double predictedMillis, long latencyTargetMillis, long nowMillis) {
        // Without requests in between nothing tells that the queue stood.
        boolean resumed = nowMillis - observedAtMillis > latencyTargetMillis;
        observedAtMillis = nowMillis;
        if (resumed || predictedMillis <= latencyTargetMillis) {
            inTimeAtMillis = nowMillis;
        }
    }

    /**
     * Returns whether no request could expect to be answered in time for a whole latency target.
     *
     * @param latencyTargetMillis the latency target
     * @param nowMillis the time now
     * @return whether the queue stands
     */
    public boolean stands(long latencyTargetMillis, long nowMillis) {
        return nowMillis - inTimeAtMillis > latencyTargetMillis;
    }
}
