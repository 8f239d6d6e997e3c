package org.fuchsiatrail;

import java.util.List;

/** The answer of the platform's key-value service. */
public sealed interface StoreResult {

    /**
     * The value of a key.
     *
     * @param version its version, from 1
     * @param value its bytes
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

    /** The version was not the expected one; nothing was written. */
    record Conflict() implements StoreResult {}

    /** A watch ended without a newer version. */
    record Unchanged() implements StoreResult {}

    /**
     * The lease is held by the asker.
     *
     * @param fencingToken the number of this holding; a new holder gets a higher one
     * @param remainingMillis how long it still lasts, counted from when the asker sent its request
     */
    record LeaseGranted(long fencingToken, long remainingMillis) implements StoreResult {}

    /**
     * Somebody else holds the lease.
     *
     * @param holder who
     */
    record LeaseRefused(String holder) implements StoreResult {}

    /**
     * The entry VMs known to the platform.
     *
     * @param vms the list
     */
    record VmList(List<EntryVm> vms) implements StoreResult {}

    /**
     * No answer came; a write may have taken effect.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements StoreResult {}
}
