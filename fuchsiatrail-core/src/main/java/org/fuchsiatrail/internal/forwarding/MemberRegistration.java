package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;

/** Maintains this router's member entry in the platform's store, through which peers discover it. */
final class MemberRegistration {

    /** How long the entry outlives the router, in milliseconds; a stale address does no harm to peers. */
    private static final long LEASE_DURATION_MILLIS = 20_000;

    /**
     * Interval between lease renewals, in milliseconds. A renewal is the cheapest call, and the only one that detects
     * an unresponsive store while a watch waits for changes.
     */
    private static final long RENEWAL_INTERVAL_MILLIS = 1_500;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 300;

    /**
     * The longest delay before the entry is written again in a new era of the store, in milliseconds; peers keep a lost
     * entry a little longer.
     */
    private static final long MAXIMUM_NEW_ERA_DELAY_MILLIS = 1_200;

    /** Timeout of a call, in milliseconds; a slow store takes 0.3 s. */
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private long leaseId;
    private boolean registered;
    private boolean callPending;
    private long nextCallAtMillis;

    MemberRegistration(ForwardingContext context, StoreCallTable store) {
        this.context = context;
        this.store = store;
        store.era().onChange(this::beginEra);
    }

    /** Registers again, since the entry or its lease may be lost; the routers of a fleet one after the other. */
    private void beginEra() {
        leaseId = 0;
        registered = false;
        scheduleNextCall(context.random().nextLong(MAXIMUM_NEW_ERA_DELAY_MILLIS));
    }

    void run() {
        if (callPending || context.stopping() || context.now() < nextCallAtMillis) {
            return;
        }
        callPending = true;
        if (leaseId == 0) {
            store.call(new StoreCall.GrantLease(LEASE_DURATION_MILLIS), CALL_TIMEOUT_MILLIS, this::onLeaseGranted);
        } else if (!registered) {
            store.call(
                    new StoreCall.AnnounceMember(
                            context.settings().self(), context.settings().callerAddress(), leaseId),
                    CALL_TIMEOUT_MILLIS,
                    this::onRegistered);
        } else {
            store.call(new StoreCall.KeepLease(leaseId), CALL_TIMEOUT_MILLIS, this::onLeaseRenewed);
        }
    }

    private void onLeaseGranted(StoreReply reply) {
        callPending = false;
        if (reply instanceof StoreReply.LeaseGranted granted) {
            leaseId = granted.lease();
            scheduleNextCall(0);
        } else {
            scheduleNextCall(RETRY_DELAY_MILLIS);
        }
    }

    private void onRegistered(StoreReply reply) {
        callPending = false;
        registered = reply instanceof StoreReply.Written;
        if (reply instanceof StoreReply.LeaseExpired) {
            leaseId = 0;
        }
        scheduleNextCall(registered ? RENEWAL_INTERVAL_MILLIS : RETRY_DELAY_MILLIS);
    }

    private void onLeaseRenewed(StoreReply reply) {
        callPending = false;
        if (reply instanceof StoreReply.LeaseExpired) {
            leaseId = 0;
            registered = false;
            scheduleNextCall(0);
        } else {
            scheduleNextCall(reply instanceof StoreReply.LeaseRenewed ? RENEWAL_INTERVAL_MILLIS : RETRY_DELAY_MILLIS);
        }
    }

    private void scheduleNextCall(long delayMillis) {
        nextCallAtMillis = context.now() + delayMillis;
        context.wakeAt(nextCallAtMillis);
    }
}
