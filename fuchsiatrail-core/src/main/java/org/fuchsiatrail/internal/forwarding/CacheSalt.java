package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

import org.fuchsiatrail.forwarding.CustomerEntry;

/**
 * The salt under which engines cache prompt parts: the version of the weights, and the customer where it shares with
 * nobody. A caller's own salt is never used.
 */
final class CacheSalt {

    private CacheSalt() {}

    static String of(Optional<CustomerEntry> customer, long weightsVersion) {
        String version = "w" + weightsVersion;
        return customer.filter(CustomerEntry::isolated)
                .map(isolated -> version + "/" + isolated.id())
                .orElse(version);
    }
}
