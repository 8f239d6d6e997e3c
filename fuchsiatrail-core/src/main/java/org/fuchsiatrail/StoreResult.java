package org.fuchsiatrail;

import java.util.List;

/** The result of a call to the platform's key-value store. */
public sealed interface StoreResult {

    /**
     * The value of a key.
     *
     * @param version the version of the value, from 1
     * @param value the bytes of the value
     */
    record Found(long version, byte[] value) implements StoreResult {}

    /** The key has no value. */
    record Missing() implements StoreResult {}

    /**
     * The write took effect.
     *
     * @param version the new version
     */
    record Swapped(long version) implements StoreResult {}

    /** The current version was not the expected one; nothing was written. */
    record Conflict() implements StoreResult {}

    /** A watch ended without a newer version. */
    record Unchanged() implements StoreResult {}

    /**
     * The caller holds the lease.
     *
     * @param fencingToken the fencing token; each new holder receives a higher one
     * @param remainingMillis how long the lease still lasts, in milliseconds from when the request was sent
     */
    record LeaseGranted(long fencingToken, long remainingMillis) implements StoreResult {}

    /**
     * Another holder has the lease.
     *
     * @param holder the current holder
     */
    record LeaseRefused(String holder) implements StoreResult {}

    /**
     * The entry VMs known to the platform.
     *
     * @param vms the list
     */
    record VmList(List<EntryVm> vms) implements StoreResult {}

    /**
     * No response was received; a write may have taken effect.
     *
     * @param reason the error
     */
    record Unavailable(String reason) implements StoreResult {}
}
