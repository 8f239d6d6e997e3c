package org.fuchsiatrail.forwarding;

import java.util.List;

/** How a call to the platform's store ended. */
public sealed interface StoreReply {

    /**
     * A page of all items.
     *
     * @param items the items in the order of their keys
     * @param more whether further items follow
     * @param revision the store's revision when the page was read
     */
    record Page(List<StoreItem> items, boolean more, long revision) implements StoreReply {}

    /**
     * What has changed.
     *
     * @param items the changed items in the order of their changes
     * @param revision the revision to go on from
     */
    record Changes(List<StoreItem> items, long revision) implements StoreReply {}

    /** The history asked for is no longer kept. */
    record HistoryCompacted() implements StoreReply {}

    /**
     * A lease was granted.
     *
     * @param lease its number
     * @param lifetimeMillis how long it lasts without renewal, in milliseconds
     */
    record LeaseGranted(long lease, long lifetimeMillis) implements StoreReply {}

    /** The lease was renewed. */
    record LeaseRenewed() implements StoreReply {}

    /** The lease has ended. */
    record LeaseExpired() implements StoreReply {}

    /**
     * The write took effect.
     *
     * @param revision its revision
     */
    record Written(long revision) implements StoreReply {}

    /** The condition of the write did not hold; nothing was written. */
    record Conflict() implements StoreReply {}

    /**
     * The call failed.
     *
     * @param executed false when the store says that nothing was done
     * @param reason what happened
     */
    record Failed(boolean executed, String reason) implements StoreReply {}
}
