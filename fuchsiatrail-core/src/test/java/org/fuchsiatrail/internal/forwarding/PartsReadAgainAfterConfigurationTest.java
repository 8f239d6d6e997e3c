package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against prompt parts that are read again because of configurations which isolate nobody anew. */
class PartsReadAgainAfterConfigurationTest {

    private static final long SEED = 5;
    private static final int ROUTERS = 6;
    private static final int ENGINES = 20;
    private static final long BEFORE_MILLIS = 20_000;
    private static final long AFTER_MILLIS = 20_000;

    /** What a play cost after the change. */
    private record Cost(long tokensRead, long tokensCachedBefore) {}

    /** The customers of all configurations; another one, without requests, is sometimes added and isolated. */
    private static RoutingTable table(long version, boolean withAnother, boolean anotherIsolated) {
        RoutingTable base = ForwardingFixture.table(version);
        List<CustomerEntry> customers = new ArrayList<>(base.customers());
        if (withAnother) {
            customers.add(new CustomerEntry(
                    new CustomerId("another"), List.of("key-of-another"), OptionalInt.empty(), anotherIsolated));
        }
        return new RoutingTable(version, base.routes(), base.services(), customers, CallerLimits.DEFAULTS);
    }

    private static Cost play(RoutingTable changed) {
        EngineFleet fleet = new EngineFleet(SEED, ROUTERS, ENGINES);
        FleetCaches caches = fleet.publishCacheEvents();
        SiteTraffic traffic = new SiteTraffic(fleet);
        traffic.sendFor(BEFORE_MILLIS);
        long cachedBefore = caches.cachedTokens();
        fleet.routers.forEach(router -> router.put("configuration", new StoreItemContent.Routing(changed)));
        long readBefore = caches.storedTokens();
        traffic.sendFor(AFTER_MILLIS);
        return new Cost(caches.storedTokens() - readBefore, cachedBefore);
    }

    @Test
    void should_read_nothing_again_after_a_change_that_touches_no_isolation() {
        assertThat(play(table(2, true, false))).isEqualTo(play(table(2, false, false)));
    }

    @Test
    void should_read_no_more_again_after_an_isolation_than_was_cached() {
        Cost unchanged = play(table(2, true, false));
        Cost isolated = play(table(2, true, true));
        assertThat(isolated.tokensRead() - unchanged.tokensRead())
                .isPositive()
                .isLessThanOrEqualTo(unchanged.tokensCachedBefore());
    }
}
