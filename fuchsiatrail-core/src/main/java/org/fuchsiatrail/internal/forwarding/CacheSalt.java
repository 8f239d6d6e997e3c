package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

import org.fuchsiatrail.forwarding.CacheSharing;
import org.fuchsiatrail.forwarding.CustomerEntry;

/**
 * The salt under which engines cache prompt parts: the version of the weights and, for an isolated customer, the
 * customer's id, for the others the name of what they share. A salt supplied by the caller is never used.
 */
final class CacheSalt {

    private CacheSalt() {}

    /**
     * Returns the salt of an attempt that begins now.
     *
     * @param customer the customer as it was configured when the request arrived
     * @param sharing which customers share cached parts now
     * @param weightsVersion the version of the engine's weights
     */
    static String of(Optional<CustomerEntry> customer, CacheSharing sharing, long weightsVersion) {
        String versionSalt = "w" + weightsVersion;
        Optional<CustomerEntry> isolated =
                customer.filter(entry -> entry.isolated() || sharing.isolated().contains(entry.id()));
        if (isolated.isPresent()) {
            return versionSalt + "/" + isolated.get().id();
        }
        return sharing.name().isEmpty() ? versionSalt : versionSalt + "~" + sharing.name();
    }
}
