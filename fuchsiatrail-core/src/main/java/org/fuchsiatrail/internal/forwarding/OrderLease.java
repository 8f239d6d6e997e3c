package org.fuchsiatrail.internal.forwarding;

import java.util.OptionalLong;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;

/**
 * The right to give orders to engines, which one router holds by a lease in the store.
 *
 * <p>The holder orders only while its last renewal is fresh, so it falls silent well before its lease can have ended. A
 * new holder waits as long as the users forbid two routers to take turns.
 */
final class OrderLease {

    /** How long the right lasts without renewal, in milliseconds; twice the time for which a renewal counts. */
    private static final long LEASE_MILLIS = 2_000;

    /** Pause between renewals, in milliseconds; two fit into the time for which a renewal counts. */
    private static final long KEEP_MILLIS = 450;

    /** How long after a renewal was sent the holder may order, in milliseconds. */
    private static final long FRESH_MILLIS = 1_000;

    /** How long a call may take, in milliseconds; a slow store takes 0.3 s. */
    private static final long CALL_MILLIS = 1_000;

    /** Pause before another try to take the right, in milliseconds, plus as much by chance. */
    private static final long TRY_AGAIN_MILLIS = 300;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private final StoreReplica known;
    private boolean calling;
    private boolean held;
    private long lease;
    private long fencingToken;
    private long keptAtMillis = Long.MIN_VALUE / 2;
    private long mayOrderFromMillis = Long.MAX_VALUE;
    private long nextCallAtMillis;

    OrderLease(ForwardingContext context, StoreCallTable store, StoreReplica known) {
        this.context = context;
        this.store = store;
        this.known = known;
    }

    /** Returns the fencing token if this router may order now. */
    OptionalLong token() {
        boolean fresh = held && context.now() - keptAtMillis < FRESH_MILLIS && context.now() >= mayOrderFromMillis;
        return fresh && !context.stopping() ? OptionalLong.of(fencingToken) : OptionalLong.empty();
    }

    void run() {
        if (calling || context.now() < nextCallAtMillis) {
            return;
        }
        if (held) {
            keepOrEnd();
        } else if (!context.stopping()
                && known.revision() > 0
                && known.orderHolder().isEmpty()
                && store.healthy()) {
            take();
        } else {
            again(TRY_AGAIN_MILLIS);
        }
    }

    private void keepOrEnd() {
        calling = true;
        long sentAt = context.now();
        if (context.stopping()) {
            held = false;
            store.call(new StoreCall.EndLease(lease), CALL_MILLIS, reply -> calling = false);
            context.log("orders", "Right to order given back.", "fencingToken", fencingToken);
            return;
        }
        store.call(new StoreCall.KeepLease(lease), CALL_MILLIS, reply -> kept(reply, sentAt));
    }

    private void kept(StoreReply reply, long sentAtMillis) {
        calling = false;
        switch (reply) {
            case StoreReply.LeaseRenewed kept -> {
                keptAtMillis = Math.max(keptAtMillis, sentAtMillis);
                again(KEEP_MILLIS);
            }
            case StoreReply.LeaseExpired gone -> drop("lease has ended");
            default -> again(KEEP_MILLIS / 2);
        }
    }

    private void take() {
        calling = true;
        long sentAt = context.now();
        store.call(new StoreCall.GrantLease(LEASE_MILLIS), CALL_MILLIS, reply -> {
            calling = false;
            if (reply instanceof StoreReply.LeaseGranted granted) {
                lease = granted.lease();
                write(sentAt);
            } else {
                again(TRY_AGAIN_MILLIS);
            }
        });
    }

    private void write(long sentAtMillis) {
        calling = true;
        String holder = context.settings().self().id().value();
        store.call(new StoreCall.TakeOrderRight(holder, lease), CALL_MILLIS, reply -> {
            calling = false;
            if (reply instanceof StoreReply.Written written) {
                held = true;
                fencingToken = written.revision();
                keptAtMillis = sentAtMillis;
                mayOrderFromMillis = context.now() + context.settings().orderLeaseMillis();
                context.wakeAt(mayOrderFromMillis);
                context.log("orders", "Right to order taken.", "fencingToken", fencingToken, "lease", lease);
                again(KEEP_MILLIS);
            } else {
                abandonLease();
            }
        });
    }

    /** Ends a lease whose write failed or got lost, so that a write that took effect after all ends with it. */
    private void abandonLease() {
        store.call(new StoreCall.EndLease(lease), CALL_MILLIS, reply -> {});
        again(TRY_AGAIN_MILLIS);
    }

    /** Forgets all freshness after a time in which the process may not have run. */
    void timeJumped() {
        keptAtMillis = Long.MIN_VALUE / 2;
        nextCallAtMillis = 0;
    }

    private void drop(String reason) {
        held = false;
        mayOrderFromMillis = Long.MAX_VALUE;
        context.log("orders", "Right to order lost.", "reason", reason, "fencingToken", fencingToken);
        again(TRY_AGAIN_MILLIS);
    }

    private void again(long millis) {
        nextCallAtMillis = context.now() + millis + (held ? 0 : context.random().nextLong(millis));
        context.wakeAt(nextCallAtMillis);
    }

    boolean idle() {
        return !held && !calling;
    }
}
