package org.fuchsiatrail.forwarding;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.internal.store.Digests;

/**
 * Which customers share cached prompt parts under a configuration.
 *
 * <p>The name depends on nothing but the set of isolated customers. So a customer outside that set finds only parts
 * that customers outside the same set left, whatever configurations were in force before and whichever of them a router
 * has seen. While no customer changes in or out of the set, the name and all cached parts stay.
 *
 * @param isolated the customers that share no cached parts with any other
 * @param name names the cache that all other customers share; empty if no customer is isolated
 */
public record CacheSharing(Set<CustomerId> isolated, String name) {

    /** All customers share cached parts, as where none is configured. */
    public static final CacheSharing AMONG_ALL = new CacheSharing(Set.of(), "");

    private static final int NAME_DIGITS = 32;

    static CacheSharing of(Collection<CustomerEntry> customers) {
        Set<CustomerId> isolated = customers.stream()
                .filter(CustomerEntry::isolated)
                .map(CustomerEntry::id)
                .collect(Collectors.toUnmodifiableSet());
        return isolated.isEmpty() ? AMONG_ALL : new CacheSharing(isolated, name(isolated));
    }

    private static String name(Set<CustomerId> isolated) {
        String[] ids = isolated.stream().map(CustomerId::value).sorted().toArray(String[]::new);
        return Digests.sha256(ids).substring(0, NAME_DIGITS);
    }
}
