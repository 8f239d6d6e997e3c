package org.fuchsiatrail.internal.forwarding;

/**
 * Notices that the process did not run for a while, and tells from when on changes made elsewhere may not have been
 * read. The clock counts the time of a suspension, or stops meanwhile.
 */
final class Suspensions {

    /** A time without a tick that counts as a suspension, in milliseconds; two of the longest heartbeat intervals. */
    private static final long MINIMUM_MILLIS = 1_000;

    /** How long after a suspension changes that were made during it may still arrive, in milliseconds. */
    private static final long CATCH_UP_MILLIS = 3_000;

    /** How long after a suspension messages are read that were received during it, in milliseconds. */
    private static final long QUEUED_MESSAGES_MILLIS = 500;

    private final ForwardingContext context;
    private long beganAtMillis = Long.MIN_VALUE / 2;
    private long endedAtMillis = Long.MIN_VALUE / 2;

    Suspensions(ForwardingContext context) {
        this.context = context;
    }

    /** Records a tick and the time since the one before, in milliseconds. */
    void ticked(long millisSinceLastTick) {
        if (millisSinceLastTick >= MINIMUM_MILLIS) {
            context.count("router.suspensions");
            context.log(
                    "router", "Process continued after a time in which it did not run.", "millis", millisSinceLastTick);
            record(context.now() - millisSinceLastTick);
        }
    }

    /** Records a time in which the process may have been suspended while its clock stood still. */
    void clockStopped(long millis) {
        record(context.now() - millis);
    }

    private void record(long newBeganAtMillis) {
        beganAtMillis = isCatchingUp() ? Math.min(beganAtMillis, newBeganAtMillis) : newBeganAtMillis;
        endedAtMillis = context.now();
    }

    /** Returns whether changes may arrive that were made during a suspension. */
    boolean isCatchingUp() {
        return context.now() - endedAtMillis < CATCH_UP_MILLIS;
    }

    /** The earliest time at which a change that arrives now may have been made, in milliseconds. */
    long earliestChangeMillis() {
        return isCatchingUp() ? beganAtMillis : context.now();
    }

    /** Returns whether the process ran all the time since then, in milliseconds on its clock. */
    boolean ranSince(long millis) {
        return millis >= endedAtMillis;
    }

    /** Returns whether messages may arrive that were received during a suspension. */
    boolean readsQueuedMessages() {
        return context.now() - endedAtMillis < QUEUED_MESSAGES_MILLIS;
    }
}
