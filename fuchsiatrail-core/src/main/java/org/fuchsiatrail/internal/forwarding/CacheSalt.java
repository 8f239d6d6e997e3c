package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

import org.fuchsiatrail.forwarding.CustomerEntry;

/**
 * The salt under which engines cache prompt parts: the version of the weights and, for an isolated customer, the
 * customer's id. A salt supplied by the caller is never used.
 */
final class CacheSalt {

    private CacheSalt() {}

    static String of(Optional<CustomerEntry> customer, long weightsVersion) {
        String versionSalt = "w" + weightsVersion;
        return customer.filter(CustomerEntry::isolated)
                .map(isolated -> versionSalt + "/" + isolated.id())
                .orElse(versionSalt);
    }
}
