package org.fuchsiatrail.forwarding;

import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.UpstreamId;

/**
 * A call to the platform's store.
 *
 * <p>The simple names of the records are values of the log field {@code call}.
 */
public sealed interface StoreCall {

    /**
     * Reads a page of all items.
     *
     * @param afterKey the last key of the previous page, or an empty string for the first page
     */
    record ReadAll(String afterKey) implements StoreCall {}

    /**
     * Waits for changes of any item (long poll).
     *
     * @param afterRevision the revision of the last change that is known
     * @param waitMillis how long the store may wait for a change, in milliseconds
     */
    record Watch(long afterRevision, long waitMillis) implements StoreCall {}

    /**
     * Requests a new lease.
     *
     * @param lifetimeMillis how long the lease lasts without renewal, in milliseconds
     */
    record GrantLease(long lifetimeMillis) implements StoreCall {}

    /**
     * Renews a lease.
     *
     * @param lease the number of the lease
     */
    record KeepLease(long lease) implements StoreCall {}

    /**
     * Revokes a lease; the store removes the items bound to it.
     *
     * @param lease the number of the lease
     */
    record EndLease(long lease) implements StoreCall {}

    /**
     * Registers a router under a lease.
     *
     * @param vm the router
     * @param callerAddress the IP address and port at which it accepts requests
     * @param lease the lease; the store removes the entry when it ends
     */
    record AnnounceMember(EntryVm vm, String callerAddress, long lease) implements StoreCall {}

    /**
     * Acquires the order lease if no router holds it.
     *
     * @param holder the router that acquires it
     * @param lease the lease; the order lease ends with it
     */
    record TakeOrderRight(String holder, long lease) implements StoreCall {}

    /**
     * Publishes a quarantined request if no router has done so.
     *
     * @param fingerprint the fingerprint of the request
     * @param crashedUpstreams the incarnations of upstreams that it crashed
     * @param lease the lease; the quarantine ends with it
     */
    record PublishQuarantine(long fingerprint, List<UpstreamId> crashedUpstreams, long lease) implements StoreCall {}

    /** Reads the version shares of all services, current and replaced ones. */
    record ReadVersionShares() implements StoreCall {}

    /**
     * Sets the version shares of a service and keeps those that were in force, if no other router has set them.
     *
     * @param next the shares that come into force
     * @param expectedRevision the revision of the item with the shares in force, or 0 if there is none
     * @param replaced the shares that are replaced
     * @param lease the lease with which the replaced shares are removed
     */
    record SetVersionShares(VersionShares next, long expectedRevision, VersionShares replaced, long lease)
            implements StoreCall {}

    /**
     * Completes replaced version shares with the streams that are still open.
     *
     * @param completed the replaced shares
     * @param lease the lease with which they are removed
     */
    record CompleteVersionShares(StoreItemContent.ReplacedVersionShares completed, long lease) implements StoreCall {}

    /**
     * Returns the name of the call for log lines.
     *
     * @return the simple name of the record
     */
    default String label() {
        return getClass().getSimpleName();
    }
}
