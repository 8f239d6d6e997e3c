package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

/** The salt that all customers of {@link ForwardingFixture#table} but the isolated one share on the first weights. */
final class SharedCacheSalt {

    static final String VALUE =
            CacheSalt.of(Optional.empty(), ForwardingFixture.table(1).cacheSharing(), 1);

    private SharedCacheSalt() {}
}
