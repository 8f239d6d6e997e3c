package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;

/** Timeouts, retry times and costs that apply to forwarded requests. */
final class CallTiming {

    /** Retry time while the router has no configuration, in milliseconds; starting up takes about as long. */
    static final long NOT_CONFIGURED_RETRY_MILLIS = 300;

    /**
     * How long after a stop request new requests are accepted, in milliseconds; later ones might not finish before the
     * process ends.
     */
    static final long ACCEPT_AFTER_STOP_MILLIS = 2_900;

    /** Retry time when this router is about to stop, in milliseconds; the retry is expected to reach another router. */
    static final long STOPPING_RETRY_MILLIS = 20;

    /** Retry time when no upstream is usable, in milliseconds; an engine takes 0.6 s to load new weights. */
    static final long NO_UPSTREAM_RETRY_MILLIS = 300;

    /** Retry time when a stream cannot go on, in milliseconds; an upstream that ended is back after some seconds. */
    static final long NOT_RESUMABLE_RETRY_MILLIS = 1_000;

    /** After how many attempts without a connection a request is relayed to another router. */
    static final int UNSENT_BEFORE_RELAY = 2;

    /** The most routers without a path to which a request is relayed before this router tries its own paths again. */
    static final int MAXIMUM_RELAY_REFUSALS = 3;

    /** How long a relayed attempt may show no progress, as a multiple of the latency target. */
    private static final long RELAY_TIMEOUT_FACTOR = 2;

    /** The least remaining time for which an attempt is worth sending, in milliseconds. */
    static final long MINIMUM_ATTEMPT_MILLIS = 30;

    /** Interval at which placement of a waiting request is retried, in milliseconds. */
    static final long PLACEMENT_RETRY_MILLIS = 25;

    /**
     * How long a broken stream waits for an upstream to resume on, in milliseconds; callers tolerate a pause of 2 s
     * between events.
     */
    static final long RESUME_TIMEOUT_MILLIS = 800;

    /** Idle timeout between the events of a stream, in milliseconds; callers disconnect after 2 s. */
    static final long STREAM_IDLE_TIMEOUT_MILLIS = 1_000;

    /**
     * Time without a response after which a request that reaches its deadline counts as a failure of its upstream, in
     * milliseconds.
     */
    private static final long UNRESPONSIVE_MILLIS = 900;

    /** The same as a multiple of the latency target of a call, if that is shorter. */
    private static final long UNRESPONSIVE_FACTOR = 2;

    /**
     * The fraction of the grace period of replaced weights during which requests are sent to them. The rest covers the
     * delay until routers receive the new target version and the time requests spend in engine queues.
     */
    private static final double REPLACED_WEIGHTS_GRACE_FRACTION = 0.7;

    /** A timer that runs later than this after it was due shows that this router is overloaded, in milliseconds. */
    static final long LATE_TIMER_MILLIS = 25;

    /**
     * How much an attempt's timeout is extended after a late timer, in milliseconds: the answer may have arrived but
     * not been read yet.
     */
    static final long LATE_TIMER_EXTENSION_MILLIS = 120;

    /** How long after its start a router is itself slow and counts no timeout against an upstream, in milliseconds. */
    static final long WARM_UP_MILLIS = 4_000;

    /** The most attempts that are sent for one request. */
    static final int MAXIMUM_SENDS = 4;

    /** The HTTP status of an upstream that is not the expected incarnation or has other weights. */
    static final int MISDIRECTED_STATUS = 421;

    /**
     * How long answers of replaced weights still earn full credit, in milliseconds; credit is deducted from
     * 1.5 s on.
     */
    private static final long REPLACED_WEIGHTS_FREE_MILLIS = 1_300;

    /**
     * How long after their replacement weights get the higher cost, in milliseconds, so that a longer wait is
     * preferred; their answers earn no credit from 8 s on.
     */
    private static final long REPLACED_WEIGHTS_LATE_MILLIS = 4_500;

    /** Cost of replaced weights before that, a fifth of the credit, in milliseconds of waiting for the first event. */
    private static final double REPLACED_WEIGHTS_COST_MILLIS = 100;

    /** Cost once replaced weights are about to earn no credit, in milliseconds. */
    private static final double REPLACED_WEIGHTS_LATE_COST_MILLIS = 400;

    /**
     * How long a request may wait for a usable upstream, as a fraction of its latency target; a refusal within this
     * time costs callers nothing.
     */
    private static final double PLACEMENT_TIMEOUT_FRACTION = 0.12;

    /** The fraction of the latency target after which an idempotent call is retried. */
    private static final double CALL_TIMEOUT_FRACTION = 0.6;

    /** The fraction of the latency target that the first event of a stream may take beyond the prediction. */
    private static final double FIRST_EVENT_SLACK_FRACTION = 0.75;

    /** The shortest retry time that an overload refusal advises, in milliseconds. */
    private static final long MINIMUM_OVERLOAD_RETRY_MILLIS = 100;

    /** The longest retry time that an overload refusal advises, in milliseconds. */
    private static final long MAXIMUM_OVERLOAD_RETRY_MILLIS = 1_000;

    /** Returns how long after newer weights became known requests are still sent to replaced ones. */
    long replacedWeightsGraceMillis(long allowedMillis) {
        return Math.round(allowedMillis * REPLACED_WEIGHTS_GRACE_FRACTION);
    }

    /** Returns the placement cost of replaced weights, in milliseconds, by the time since they were replaced. */
    double replacedWeightsCostMillis(long millisSinceReplaced) {
        if (millisSinceReplaced < REPLACED_WEIGHTS_FREE_MILLIS) {
            return 0;
        }
        return millisSinceReplaced < REPLACED_WEIGHTS_LATE_MILLIS
                ? REPLACED_WEIGHTS_COST_MILLIS
                : REPLACED_WEIGHTS_LATE_COST_MILLIS;
    }

    /** Returns how long a request may wait for a usable upstream before it is refused. */
    long placementTimeoutMillis(Route route) {
        return (long) (route.latencyTargetMillis() * PLACEMENT_TIMEOUT_FRACTION);
    }

    /** Returns the retry time to advise when all upstreams are at their limits and this router may send later. */
    long limitRetryMillis(long millisUntilPermitted) {
        return Math.clamp(millisUntilPermitted, MINIMUM_OVERLOAD_RETRY_MILLIS, MAXIMUM_OVERLOAD_RETRY_MILLIS);
    }

    /**
     * Returns the time without an answer after which the end of an attempt counts as a failure of its upstream, in
     * milliseconds. It is shorter than the timeout of a call, so that a call that must not be repeated tells of a path
     * that hangs.
     */
    long unresponsiveMillis(PendingCall pending) {
        return pending.relayed || pending.route.kind() == RequestKind.STREAM
                ? UNRESPONSIVE_MILLIS
                : Math.min(UNRESPONSIVE_MILLIS, pending.route.latencyTargetMillis() * UNRESPONSIVE_FACTOR);
    }

    /** Returns the time after which the current attempt, if it may be retried, is abandoned without progress. */
    long attemptTimeoutMillis(PendingCall pending) {
        Route route = pending.route;
        if (pending.relayed) {
            return route.latencyTargetMillis() * RELAY_TIMEOUT_FACTOR;
        }
        return route.kind() == RequestKind.STREAM
                ? Math.round(
                        pending.placement.predictedMillis() + route.latencyTargetMillis() * FIRST_EVENT_SLACK_FRACTION)
                : Math.round(route.latencyTargetMillis() * CALL_TIMEOUT_FRACTION);
    }
}
