package org.fuchsiatrail.internal.forwarding;

/**
 * How long ago the replica of the platform's store last was known to be up to date. What other routers changed in the
 * store since then may be unknown here.
 */
final class StoreContact {

    private final ForwardingContext context;
    private long confirmedAtMillis = Long.MIN_VALUE / 2;

    StoreContact(ForwardingContext context) {
        this.context = context;
    }

    /** Records that the replica is up to date. */
    void confirm() {
        confirmedAtMillis = context.now();
    }

    /** Records that a message shows the replica to be up to date, unless it may have waited during a suspension. */
    void confirmByMessage() {
        if (!context.suspensions().readsQueuedMessages()) {
            confirm();
        }
    }

    /** Records that the clock stood still for a time. */
    void clockStopped(long millis) {
        confirmedAtMillis -= millis;
    }

    /** The time since the replica was last known to be up to date, in milliseconds. */
    long ageMillis() {
        return context.now() - confirmedAtMillis;
    }
}
