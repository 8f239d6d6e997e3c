package org.fuchsiatrail.forwarding;

/**
 * An item of the platform's store, as it was written and as it reads.
 *
 * @param key its key
 * @param revision the store's revision of its last change
 * @param value its bytes, empty for a removed item; peers pass these on
 * @param fact what it says
 */
public record StoreItem(String key, long revision, byte[] value, StoreItemContent content) {}
