package org.fuchsiatrail.daemon.settings;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RouterSettings;

/** The validated settings of one router process. */
public final class Settings {

    private final Map<SettingKey, String> values;

    Settings(Map<SettingKey, String> values) {
        this.values = new EnumMap<>(values);
    }

    /**
     * Returns the value of a key as a string.
     *
     * @param key the key
     * @return the configured value, or the default
     */
    public String text(SettingKey key) {
        return values.getOrDefault(key, key.defaultValue().orElse(""));
    }

    /**
     * Returns the value of a key as an integer.
     *
     * @param key the key
     * @return the configured value, or the default
     */
    public long integer(SettingKey key) {
        return Long.parseLong(text(key));
    }

    /**
     * Returns the value of a key as a decimal number.
     *
     * @param key the key
     * @return the configured value, or the default
     */
    public double decimal(SettingKey key) {
        return Double.parseDouble(text(key));
    }

    /**
     * Returns the entry VM of this router.
     *
     * @return its id, failure domain and the address announced to peers
     */
    public EntryVm self() {
        String advertised = text(SettingKey.PEERS_ADVERTISE);
        return new EntryVm(
                new EntryVmId(text(SettingKey.ROUTER_ID)),
                new FailureDomain(text(SettingKey.ROUTER_FAILURE_DOMAIN)),
                advertised.isEmpty() ? text(SettingKey.PEERS_LISTEN) : advertised,
                false);
    }

    private List<EntryVm> seeds() {
        List<EntryVm> seeds = new ArrayList<>();
        for (String seed : text(SettingKey.PEERS_SEEDS).split(",")) {
            String[] parts = seed.strip().split("/");
            if (parts.length == 3) {
                seeds.add(new EntryVm(new EntryVmId(parts[0]), new FailureDomain(parts[1]), parts[2], false));
            }
        }
        return seeds;
    }

    /**
     * Returns the settings of the router core.
     *
     * @param incarnation the incarnation of this router process
     * @return the settings of the core
     */
    public RouterSettings routerSettings(long incarnation) {
        return RouterSettings.builder()
                .self(self())
                .seeds(seeds())
                .incarnation(incarnation)
                .seed(incarnation ^ text(SettingKey.ROUTER_ID).hashCode())
                .secret(text(SettingKey.ROUTER_SECRET))
                .recomputeWeight(decimal(SettingKey.ROUTING_RECOMPUTE_WEIGHT))
                .engineWindowMillis(integer(SettingKey.ROUTING_ENGINE_WINDOW_MILLIS))
                .lookupBudgetMillis(integer(SettingKey.ROUTING_LOOKUP_BUDGET_MILLIS))
                .domainDistanceMillis(integer(SettingKey.ROUTING_DOMAIN_DISTANCE_MILLIS))
                .engineIdleTimeoutMillis(integer(SettingKey.ROUTING_SILENCE_MILLIS))
                .storeTimeoutMillis(integer(SettingKey.STORE_TIMEOUT_MILLIS))
                .retryRatio(decimal(SettingKey.LIMITS_RETRY_RATIO))
                .quarantineMillis(integer(SettingKey.LIMITS_QUARANTINE_MILLIS))
                .heartbeatMillis(integer(SettingKey.MEMBERSHIP_HEARTBEAT_MILLIS))
                .suspectAfterMillis(integer(SettingKey.MEMBERSHIP_SUSPECT_MILLIS))
                .deadAfterMillis(integer(SettingKey.MEMBERSHIP_DEAD_MILLIS))
                .ledgerShards((int) integer(SettingKey.LEDGER_SHARDS))
                .ledgerWriteIntervalMillis(integer(SettingKey.LEDGER_GAP_MILLIS))
                .ledgerRetentionMillis(integer(SettingKey.LEDGER_RETENTION_MILLIS))
                .orderLeaseMillis(integer(SettingKey.ORDERS_LEASE_MILLIS))
                .orderValidityMillis(integer(SettingKey.ORDERS_LIFE_MILLIS))
                .build();
    }
}
