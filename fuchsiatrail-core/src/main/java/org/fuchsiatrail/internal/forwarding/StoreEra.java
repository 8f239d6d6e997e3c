package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.StoreReply;

/**
 * The era of the platform's store, which rises each time the store returns from an older copy. Revisions and leases are
 * given out again then, so they can be compared only within one era.
 */
final class StoreEra {

    /**
     * The most eras by which a peer may be ahead. A larger difference is an error, and would make this router reject
     * all replies of the store.
     */
    private static final long MAXIMUM_PEER_LEAD = 1_000;

    /** The distance between the fencing tokens of two eras; exceeds the revisions of an era. */
    private static final long FENCING_TOKENS_PER_ERA = 1L << 32;

    private final ForwardingContext context;
    private final List<Runnable> listeners = new ArrayList<>();
    private long current = StoreReply.UNKNOWN_ERA;
    private boolean changed;

    StoreEra(ForwardingContext context) {
        this.context = context;
    }

    /** Adds a listener for a new era; listeners are called in the order in which they were added. */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** The newest known era, or {@link StoreReply#UNKNOWN_ERA}. */
    long current() {
        return current;
    }

    /** Records the era that a reply of the store names, or {@link StoreReply#UNKNOWN_ERA} if it names none. */
    void observe(long era) {
        if (era <= current) {
            return;
        }
        long former = current;
        current = era;
        if (former == StoreReply.UNKNOWN_ERA) {
            context.log("store", "Era of the store known.", "era", era);
            return;
        }
        begin("formerEra", former, "era", era);
    }

    /** Records that the store has lost changes, although it names no other era. */
    void observeLoss(long knownRevision, long revision) {
        begin("knownRevision", knownRevision, "revision", revision);
    }

    private void begin(Object... fields) {
        changed = true;
        context.count("store.eras");
        context.log("store", "The store returned from an older copy; reading all items again.", fields);
        listeners.forEach(Runnable::run);
    }

    /** Records the era that a peer knows. */
    void observeFromPeer(long era) {
        if (current == StoreReply.UNKNOWN_ERA || era <= current + MAXIMUM_PEER_LEAD) {
            observe(era);
        }
    }

    /** Returns whether revisions that a peer knows belong to the current era. Older builds do not name theirs. */
    boolean isCurrent(long era) {
        return era == current || (era == StoreReply.UNKNOWN_ERA && !changed);
    }

    /** Returns the fencing token of a lease that was taken at a revision; it rises although revisions fall back. */
    long fencingToken(long revision) {
        return Math.max(0, current - 1) * FENCING_TOKENS_PER_ERA + revision;
    }
}
