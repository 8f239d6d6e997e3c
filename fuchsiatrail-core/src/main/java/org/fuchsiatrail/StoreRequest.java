package org.fuchsiatrail;

/** A call to the platform's key-value service. */
public sealed interface StoreRequest {

    /**
     * Reads one value.
     *
     * @param key the key
     */
    record Read(String key) implements StoreRequest {}

    /**
     * Writes one value if its version is still the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that must be current; 0 when the key must not exist
     * @param value the new value, at most one megabyte
     */
    record CompareAndSwap(String key, long expectedVersion, byte[] value) implements StoreRequest {}

    /**
     * Waits until a value has a version above the given one.
     *
     * @param key the key
     * @param afterVersion the version already known
     * @param waitMillis the longest wait in milliseconds
     */
    record Watch(String key, long afterVersion, long waitMillis) implements StoreRequest {}

    /**
     * Takes or renews a lease.
     *
     * @param name the name of the lease
     * @param holder who takes it
     * @param durationMillis how long it lasts from the moment the service grants it
     */
    record AcquireLease(String name, String holder, long durationMillis) implements StoreRequest {}

    /**
     * Removes a value that nothing refers to any more.
     *
     * @param key the key
     */
    record Delete(String key) implements StoreRequest {}

    /** Lists the entry VMs, with a lag. */
    record ListVms() implements StoreRequest {}
}
