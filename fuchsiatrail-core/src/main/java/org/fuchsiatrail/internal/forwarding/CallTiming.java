package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;

/** The times that the handling of requests goes by. */
final class CallTiming {

    /** When to come back to a router without a configuration, in milliseconds; a start takes about as long. */
    static final long NOT_CONFIGURED_RETRY_MILLIS = 300;

    /** How long after a stop was asked requests are taken, in milliseconds; later ones might not end in time. */
    static final long LATEST_AFTER_STOP_MILLIS = 2_900;

    /** When to come back, to another router, when this one is about to end, in milliseconds. */
    static final long STOPPING_RETRY_MILLIS = 20;

    /** When to come back when no upstream is usable, in milliseconds; new weights take an engine 0.6 s. */
    static final long NO_UPSTREAM_RETRY_MILLIS = 300;

    /** When to come back when the retry budget is spent, in milliseconds. */
    static final long BUDGET_RETRY_MILLIS = 500;

    /** The least time for which an attempt is worth sending, in milliseconds. */
    static final long SHORTEST_ATTEMPT_MILLIS = 30;

    /** How often a waiting request looks for an upstream, in milliseconds. */
    static final long PLACE_AGAIN_MILLIS = 25;

    /** How long a broken stream looks for an upstream to go on, in milliseconds; callers bear a pause of 2 s. */
    static final long RESUME_WAIT_MILLIS = 800;

    /** The longest pause between events that an upstream is granted, in milliseconds; callers leave after 2 s. */
    static final long LONGEST_PAUSE_MILLIS = 1_000;

    /** An upstream that owes answers and says nothing for this long gets no new work, in milliseconds. */
    static final long SILENCE_MILLIS = 900;

    /** How long an upstream counts as full after it refused, in milliseconds; half a short call. */
    static final long FULL_MILLIS = 40;

    /** The part of the time for replaced weights in which requests are sent; the rest covers news and queues. */
    private static final double REPLACED_WEIGHTS_PART = 0.7;

    /** A look at a request later than this after it was due shows that this router is behind, in milliseconds. */
    static final long LATE_LOOK_MILLIS = 25;

    /** How much longer an attempt is waited for after a late look, in milliseconds: its answer may be unread here. */
    static final long LATE_PATIENCE_MILLIS = 120;

    /** How long after its start a router is slow itself and blames no upstream, in milliseconds. */
    static final long WARM_UP_MILLIS = 4_000;

    /** The most upstreams that a request is offered to. */
    static final int MOST_SENDS = 4;

    /** The HTTP status of an upstream that is another than expected or has other weights. */
    static final int MISDIRECTED = 421;

    /** How long replaced weights still earn everything, in milliseconds; the users charge from 1.5 s on. */
    private static final long OLD_WEIGHTS_FREE_MILLIS = 1_300;

    /** When a longer wait is better than replaced weights, in milliseconds; they earn nothing from 8 s on. */
    private static final long OLD_WEIGHTS_LATE_MILLIS = 4_500;

    /** Cost of a fifth of the credit, in milliseconds of a first event's wait. */
    private static final double OLD_WEIGHTS_COST_MILLIS = 100;

    /** Cost once replaced weights are about to earn nothing, in milliseconds. */
    private static final double OLD_WEIGHTS_LATE_COST_MILLIS = 400;

    /** A refusal within this part of the objective costs callers nothing. */
    private static final double FREE_WAIT_PART = 0.12;

    /** Time to an answer beyond which a request is refused at once, as a part of its objective. */
    private static final double LONGEST_WAIT_PART = 1.5;

    /** The same for short prompts, which take little from others even when they come late. */
    private static final double LONGEST_SHORT_WAIT_PART = 4;

    /** The part of the objective after which an idempotent call is sent again. */
    private static final double CALL_PATIENCE_PART = 0.6;

    /** The part of the objective that a stream's first event may take beyond the prediction. */
    private static final double STREAM_PATIENCE_PART = 0.75;

    /** The shortest and longest advised time to come back to a full system, in milliseconds. */
    private static final long SHORTEST_RETRY_MILLIS = 100;

    private static final long LONGEST_RETRY_MILLIS = 1_000;

    /** How long after newer weights became known requests are sent to older ones. */
    long replacedWeightsMillis(long allowedMillis) {
        return Math.round(allowedMillis * REPLACED_WEIGHTS_PART);
    }

    /** Cost of weights that newer ones have replaced, in milliseconds, by the time since these were named. */
    double oldWeightsCost(long namedMillisAgo) {
        if (namedMillisAgo < OLD_WEIGHTS_FREE_MILLIS) {
            return 0;
        }
        return namedMillisAgo < OLD_WEIGHTS_LATE_MILLIS ? OLD_WEIGHTS_COST_MILLIS : OLD_WEIGHTS_LATE_COST_MILLIS;
    }

    /** How long a request may wait for a usable upstream before it is refused. */
    long waitMillis(Route route) {
        return (long) (route.latencyTargetMillis() * FREE_WAIT_PART);
    }

    /** The longest predicted time to an answer for which a request is taken. */
    long longestWait(CallRow row, long remainingMillis) {
        double part = UpstreamPlacement.isShort(row.call.inputTokens()) ? LONGEST_SHORT_WAIT_PART : LONGEST_WAIT_PART;
        return Math.min(remainingMillis, (long) (row.route.latencyTargetMillis() * part));
    }

    /** When to come back to upstreams that are expected to take too long. */
    long overloadRetryMillis(Route route, double predictedMillis) {
        long over = Math.round(predictedMillis - route.latencyTargetMillis() / 2.0);
        return Math.clamp(over, SHORTEST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);
    }

    /** How long an attempt that may be repeated is waited for. */
    long patienceMillis(Route route, double predictedMillis) {
        return route.kind() == RequestKind.STREAM
                ? Math.round(predictedMillis + route.latencyTargetMillis() * STREAM_PATIENCE_PART)
                : Math.round(route.latencyTargetMillis() * CALL_PATIENCE_PART);
    }
}
