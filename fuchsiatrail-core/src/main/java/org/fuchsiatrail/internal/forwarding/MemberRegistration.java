package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;

/** Keeps this router's own entry in the store, by which its peers find it. */
final class MemberRegistration {

    /** How long the entry stays after the router is gone, in milliseconds; peers bear a stale address. */
    private static final long LEASE_MILLIS = 20_000;

    /**
     * Pause between renewals, in milliseconds. A renewal is the cheapest call, and the only one that shows a store that
     * has fallen silent behind a waiting watch.
     */
    private static final long KEEP_MILLIS = 1_500;

    /** Pause after a failed call, in milliseconds. */
    private static final long TRY_AGAIN_MILLIS = 300;

    /** How long a call may take, in milliseconds; a slow store takes 0.3 s. */
    private static final long CALL_MILLIS = 800;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private long lease;
    private boolean announced;
    private boolean calling;
    private long nextCallAtMillis;

    MemberRegistration(ForwardingContext context, StoreCallTable store) {
        this.context = context;
        this.store = store;
    }

    void run() {
        if (calling || context.stopping() || context.now() < nextCallAtMillis) {
            return;
        }
        calling = true;
        if (lease == 0) {
            store.call(new StoreCall.GrantLease(LEASE_MILLIS), CALL_MILLIS, this::granted);
        } else if (!announced) {
            store.call(new StoreCall.AnnounceMember(context.settings().self(), lease), CALL_MILLIS, this::written);
        } else {
            store.call(new StoreCall.KeepLease(lease), CALL_MILLIS, this::kept);
        }
    }

    private void granted(StoreReply reply) {
        calling = false;
        if (reply instanceof StoreReply.LeaseGranted granted) {
            lease = granted.lease();
            again(0);
        } else {
            again(TRY_AGAIN_MILLIS);
        }
    }

    private void written(StoreReply reply) {
        calling = false;
        announced = reply instanceof StoreReply.Written;
        if (reply instanceof StoreReply.LeaseExpired) {
            lease = 0;
        }
        again(announced ? KEEP_MILLIS : TRY_AGAIN_MILLIS);
    }

    private void kept(StoreReply reply) {
        calling = false;
        if (reply instanceof StoreReply.LeaseExpired) {
            lease = 0;
            announced = false;
            again(0);
        } else {
            again(reply instanceof StoreReply.LeaseRenewed ? KEEP_MILLIS : TRY_AGAIN_MILLIS);
        }
    }

    private void again(long millis) {
        nextCallAtMillis = context.now() + millis;
        context.wakeAt(nextCallAtMillis);
    }
}
