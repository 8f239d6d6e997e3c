package org.fuchsiatrail.internal.forwarding;

import java.util.OptionalLong;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;

/**
 * The exclusive permission to issue orders to engines, which one router holds through a lease in the platform's store.
 *
 * <p>The holder issues orders only shortly after a successful renewal, so it stops well before its lease can expire. A
 * new holder first waits for the configured order lease time, within which orders from two different routers are not
 * permitted.
 */
final class OrderLease {

    /** How long the lease lasts without renewal, in milliseconds; twice the validity of a renewal. */
    private static final long LEASE_DURATION_MILLIS = 2_000;

    /** Interval between renewals, in milliseconds; two fit into the validity of a renewal. */
    private static final long RENEWAL_INTERVAL_MILLIS = 450;

    /** How long the holder may issue orders after it sent a successful renewal, in milliseconds. */
    private static final long RENEWAL_VALIDITY_MILLIS = 1_000;

    /** Timeout of a call, in milliseconds; a slow store takes 0.3 s. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    /**
     * Delay before another attempt to acquire the lease, in milliseconds; a random delay of up to the same is added.
     */
    private static final long RETRY_DELAY_MILLIS = 300;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private final StoreReplica replica;
    private boolean callPending;
    private boolean holdsLease;
    private long leaseId;
    private long leaseEra;
    private long fencingToken;
    private long renewedAtMillis = Long.MIN_VALUE / 2;
    private long ordersAllowedFromMillis = Long.MAX_VALUE;
    private long nextCallAtMillis;
    private int clockJumps;

    OrderLease(ForwardingContext context, StoreCallTable store, StoreReplica replica) {
        this.context = context;
        this.store = store;
        this.replica = replica;
        store.era().onChange(this::beginEra);
    }

    /** Gives the lease up, since the store may have lost it and granted it, or its number, to another router. */
    private void beginEra() {
        if (holdsLease) {
            markLost("the store returned from an older copy");
        }
    }

    /** Returns the fencing token if this router may issue orders now. */
    OptionalLong activeFencingToken() {
        boolean mayOrder = holdsLease
                && context.now() - renewedAtMillis < RENEWAL_VALIDITY_MILLIS
                && context.now() >= ordersAllowedFromMillis;
        return mayOrder && !context.stopping() ? OptionalLong.of(fencingToken) : OptionalLong.empty();
    }

    void run() {
        if (callPending || context.now() < nextCallAtMillis) {
            return;
        }
        if (holdsLease) {
            renewOrRelease();
        } else if (!context.stopping()
                && replica.revision() > 0
                && replica.orderLeaseHolder().isEmpty()
                && store.healthy()) {
            acquire();
        } else {
            scheduleNextCall(RETRY_DELAY_MILLIS);
        }
    }

    private void renewOrRelease() {
        callPending = true;
        long sentAtMillis = context.now();
        if (context.stopping()) {
            holdsLease = false;
            store.call(new StoreCall.EndLease(leaseId), CALL_TIMEOUT_MILLIS, reply -> callPending = false);
            context.log("orders", "Order lease released.", "fencingToken", fencingToken);
            return;
        }
        int clockJumpsBefore = clockJumps;
        store.call(
                new StoreCall.KeepLease(leaseId),
                CALL_TIMEOUT_MILLIS,
                reply -> onRenewed(reply, sentAtMillis, clockJumps == clockJumpsBefore));
    }

    /** A renewal that was sent before a clock jump may be older than the clock tells, so it is repeated. */
    private void onRenewed(StoreReply reply, long sentAtMillis, boolean sentSinceClockJump) {
        callPending = false;
        switch (reply) {
            case StoreReply.LeaseRenewed renewed -> {
                if (sentSinceClockJump) {
                    renewedAtMillis = Math.max(renewedAtMillis, sentAtMillis);
                    scheduleNextCall(RENEWAL_INTERVAL_MILLIS);
                } else {
                    nextCallAtMillis = 0;
                }
            }
            case StoreReply.LeaseExpired expired -> markLost("lease expired");
            default -> scheduleNextCall(RENEWAL_INTERVAL_MILLIS / 2);
        }
    }

    private void acquire() {
        callPending = true;
        long sentAtMillis = context.now();
        store.call(new StoreCall.GrantLease(LEASE_DURATION_MILLIS), CALL_TIMEOUT_MILLIS, reply -> {
            callPending = false;
            if (reply instanceof StoreReply.LeaseGranted granted) {
                leaseId = granted.lease();
                leaseEra = store.era().current();
                writeHolder(sentAtMillis);
            } else {
                scheduleNextCall(RETRY_DELAY_MILLIS);
            }
        });
    }

    private void writeHolder(long sentAtMillis) {
        callPending = true;
        String holder = context.settings().self().id().value();
        store.call(new StoreCall.TakeOrderRight(holder, leaseId), CALL_TIMEOUT_MILLIS, reply -> {
            callPending = false;
            if (reply instanceof StoreReply.Written written) {
                holdsLease = true;
                fencingToken = store.era().fencingToken(written.revision());
                renewedAtMillis = sentAtMillis;
                ordersAllowedFromMillis = context.now() + context.settings().orderLeaseMillis();
                context.wakeAt(ordersAllowedFromMillis);
                context.log(
                        "orders",
                        "Order lease acquired; orders are allowed after the waiting time.",
                        "fencingToken",
                        fencingToken,
                        "lease",
                        leaseId);
                scheduleNextCall(RENEWAL_INTERVAL_MILLIS);
            } else {
                endUnusedLease();
            }
        });
    }

    /**
     * Ends a lease after the holder entry was not written or its outcome is unknown, so that an entry that was written
     * after all is removed with the lease. In another era, the lease of that number may be that of another router.
     */
    private void endUnusedLease() {
        if (leaseEra == store.era().current()) {
            store.call(new StoreCall.EndLease(leaseId), CALL_TIMEOUT_MILLIS, reply -> {});
        }
        scheduleNextCall(RETRY_DELAY_MILLIS);
    }

    /**
     * Invalidates the last renewal after the clock jumped, because the process may not have run and the lease may have
     * expired.
     */
    void clockJumped() {
        clockJumps++;
        renewedAtMillis = Long.MIN_VALUE / 2;
        nextCallAtMillis = 0;
    }

    private void markLost(String reason) {
        holdsLease = false;
        ordersAllowedFromMillis = Long.MAX_VALUE;
        context.log(
                "orders",
                "Order lease lost; this router issues no more orders.",
                "reason",
                reason,
                "fencingToken",
                fencingToken);
        scheduleNextCall(RETRY_DELAY_MILLIS);
    }

    private void scheduleNextCall(long delayMillis) {
        nextCallAtMillis =
                context.now() + delayMillis + (holdsLease ? 0 : context.random().nextLong(delayMillis));
        context.wakeAt(nextCallAtMillis);
    }

    boolean isIdle() {
        return !holdsLease && !callPending;
    }
}
