package org.fuchsiatrail;

/** A call to the platform's key-value store. */
public sealed interface StoreRequest {

    /**
     * Reads one value.
     *
     * @param key the key
     */
    record Read(String key) implements StoreRequest {}

    /**
     * Writes one value if its current version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that must be current, or 0 when the key must not exist
     * @param value the new value, at most one megabyte
     */
    record CompareAndSwap(String key, long expectedVersion, byte[] value) implements StoreRequest {}

    /**
     * Waits until a value has a version above the given one (long poll).
     *
     * @param key the key
     * @param afterVersion the version that is already known
     * @param waitMillis the maximum wait in milliseconds
     */
    record Watch(String key, long afterVersion, long waitMillis) implements StoreRequest {}

    /**
     * Acquires or renews a lease.
     *
     * @param name the name of the lease
     * @param holder the holder that acquires the lease
     * @param durationMillis how long the lease lasts from the time the store grants it, in milliseconds
     */
    record AcquireLease(String name, String holder, long durationMillis) implements StoreRequest {}

    /**
     * Deletes a value that is no longer referenced.
     *
     * @param key the key
     */
    record Delete(String key) implements StoreRequest {}

    /** Lists the entry VMs; the list may be outdated. */
    record ListVms() implements StoreRequest {}
}
