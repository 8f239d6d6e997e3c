package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.SwitchMode;

/**
 * Decides when an engine that receives no new requests is ordered to load other weights, and what becomes of the
 * requests that still run on it.
 *
 * <p>Load pattern: new weights every few seconds while an engine runs many requests at once, some of which take several
 * seconds and cannot continue elsewhere. Waiting for all of them would keep replaced weights in use for too long, and
 * resetting them would end their callers' streams.
 */
final class WeightSwitchDecision {

    /** The time within which all routers receive a switching report and report their work on it, in milliseconds. */
    private static final long MINIMUM_QUIESCE_MILLIS = 80;

    /** The longest wait for requests that cannot continue elsewhere, in milliseconds. */
    private static final long MAXIMUM_QUIESCE_MILLIS = 600;

    /** What to do now. */
    sealed interface Decision {}

    /** The requests that run are given more time. */
    record KeepWaiting() implements Decision {}

    /**
     * The engine is ordered to load the weights.
     *
     * @param mode what becomes of the requests that run
     */
    record Order(SwitchMode mode) implements Decision {}

    private WeightSwitchDecision() {}

    /**
     * Decides on one engine.
     *
     * @param waitedMillis for how long it has received no new requests, in milliseconds
     * @param nonResumableRequests the requests that run on it and cannot continue elsewhere, as far as known
     */
    static Decision decide(long waitedMillis, int nonResumableRequests) {
        boolean finished = waitedMillis >= MINIMUM_QUIESCE_MILLIS && nonResumableRequests == 0;
        if (finished) {
            return new Order(SwitchMode.RESET_RUNS);
        }
        return waitedMillis >= MAXIMUM_QUIESCE_MILLIS ? new Order(SwitchMode.RETAIN_RUNS) : new KeepWaiting();
    }
}
