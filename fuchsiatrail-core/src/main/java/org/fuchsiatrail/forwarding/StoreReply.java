package org.fuchsiatrail.forwarding;

import java.util.List;

/** The reply of the platform's store to a call, or the failure of the call. */
public sealed interface StoreReply {

    /** The era of a reply that names none. */
    long UNKNOWN_ERA = -1;

    /**
     * A page of all items.
     *
     * @param items the items in key order
     * @param more whether there are further pages
     * @param revision the store's revision when the page was read
     */
    record Page(List<StoreItem> items, boolean more, long revision) implements StoreReply {}

    /**
     * Changed items.
     *
     * @param items the changed items, in the order of their changes
     * @param revision the revision from which to continue the watch
     */
    record Changes(List<StoreItem> items, long revision) implements StoreReply {}

    /** The store has already compacted the requested history; all items must be read again. */
    record HistoryCompacted() implements StoreReply {}

    /**
     * A lease was granted.
     *
     * @param lease the number of the lease
     * @param lifetimeMillis how long the lease lasts without renewal, in milliseconds
     */
    record LeaseGranted(long lease, long lifetimeMillis) implements StoreReply {}

    /** The lease was renewed. */
    record LeaseRenewed() implements StoreReply {}

    /** The lease has expired or was revoked. */
    record LeaseExpired() implements StoreReply {}

    /**
     * The write took effect.
     *
     * @param revision the revision of the write
     */
    record Written(long revision) implements StoreReply {}

    /** The precondition of the write was not met; nothing was written. */
    record Conflict() implements StoreReply {}

    /**
     * The call failed.
     *
     * @param executed false when the store reports that it did not execute the call
     * @param reason the error
     */
    record Failed(boolean executed, String reason) implements StoreReply {}
}
