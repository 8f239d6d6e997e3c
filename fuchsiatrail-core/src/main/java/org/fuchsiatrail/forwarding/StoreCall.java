package org.fuchsiatrail.forwarding;

import org.fuchsiatrail.EntryVm;

/** A call to the platform's store. */
public sealed interface StoreCall {

    /**
     * Reads a page of all items.
     *
     * @param afterKey the last key of the page before, or an empty text
     */
    record ReadAll(String afterKey) implements StoreCall {}

    /**
     * Waits for changes of any item.
     *
     * @param afterRevision the last revision that is known
     * @param waitMillis how long the store may wait, in milliseconds
     */
    record Watch(long afterRevision, long waitMillis) implements StoreCall {}

    /**
     * Asks for a lease.
     *
     * @param lifetimeMillis how long it lasts without renewal, in milliseconds
     */
    record GrantLease(long lifetimeMillis) implements StoreCall {}

    /**
     * Renews a lease.
     *
     * @param lease its number
     */
    record KeepLease(long lease) implements StoreCall {}

    /**
     * Ends a lease; its items are removed.
     *
     * @param lease its number
     */
    record EndLease(long lease) implements StoreCall {}

    /**
     * Announces a router under a lease.
     *
     * @param vm the router
     * @param lease the lease that its entry ends with
     */
    record AnnounceMember(EntryVm vm, long lease) implements StoreCall {}

    /**
     * Takes the right to give orders, if nobody holds it.
     *
     * @param holder the router that wants it
     * @param lease the lease that the right ends with
     */
    record TakeOrderRight(String holder, long lease) implements StoreCall {}

    /**
     * Returns a text for log lines.
     *
     * @return the name of the call
     */
    default String label() {
        return getClass().getSimpleName();
    }
}
