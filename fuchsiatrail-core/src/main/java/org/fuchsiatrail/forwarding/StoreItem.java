package org.fuchsiatrail.forwarding;

/**
 * An item of the platform's store, with its raw value and its parsed content.
 *
 * @param key the key of the item
 * @param revision the store's revision of the item's last change
 * @param value the raw bytes, empty for a removed item; relayed to peers unchanged
 * @param content the parsed content
 */
public record StoreItem(String key, long revision, byte[] value, StoreItemContent content) {}
