package org.fuchsiatrail;

import java.util.List;
import java.util.Objects;

/**
 * The settings of one router; times are milliseconds.
 *
 * @param self this router's entry VM
 * @param seeds peers to try before the platform's list is known
 * @param incarnation the number of this life of the router; a restart must raise it
 * @param seed the seed of every random choice
 * @param secret the secret that all routers share; it signs resume tokens and cache salts
 * @param recomputeWeight how many milliseconds of waiting one millisecond of recomputing is worth
 * @param heartbeatMillis the least time between two heartbeats
 * @param suspectAfterMillis the silence after which a peer is suspect
 * @param deadAfterMillis the silence after which a peer is dead
 * @param loadIntervalMillis the time between two questions for an engine's load
 * @param lookupBudgetMillis the longest wait for the cache directory
 * @param storeTimeoutMillis the longest wait for the platform's store
 * @param engineWindowMillis the most work, as milliseconds of prefill, placed on an engine before requests wait here
 * @param silenceMillis the longest silence of an engine within an attempt before another engine takes over
 * @param domainDistanceMillis the extra delay to another failure domain
 * @param ledgerShards the number of ledger shards
 * @param ledgerGapMillis the least time between two writes to a ledger shard
 * @param ledgerRetentionMillis how long the ledger keeps an answer at least
 * @param ledgerSealBytes the size of finished ledger entries that are sealed into a segment
 * @param spreadWaitMillis how long a confirmation waits for all routers
 * @param retryRatio retries allowed for each first attempt
 * @param quarantineMillis how long a suspicion lasts
 * @param orderLifeMillis how long an engine may still accept an order
 * @param orderLeaseMillis the length of the lease on giving orders
 * @param affinity whether cached prefixes count when an engine is chosen; off only to measure what they bring
 */
public record RouterSettings(
        EntryVm self,
        List<EntryVm> seeds,
        long incarnation,
        long seed,
        String secret,
        double recomputeWeight,
        long heartbeatMillis,
        long suspectAfterMillis,
        long deadAfterMillis,
        long loadIntervalMillis,
        long lookupBudgetMillis,
        long storeTimeoutMillis,
        long engineWindowMillis,
        long engineIdleTimeoutMillis,
        long domainDistanceMillis,
        int ledgerShards,
        long ledgerWriteIntervalMillis,
        long ledgerRetentionMillis,
        int ledgerSegmentBytes,
        long propagationTimeoutMillis,
        double retryRatio,
        long quarantineMillis,
        long orderValidityMillis,
        long orderLeaseMillis,
        boolean prefixAffinity) {

    /** Refuses settings without an entry VM. */
    public RouterSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(secret, "secret");
    }

    /**
     * Starts a builder with the defaults.
     *
     * @return a builder; {@link Builder#self} must be called
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link RouterSettings}. */
    public static final class Builder {

        private EntryVm self;
        private List<EntryVm> seeds = List.of();
        private long incarnation = 1;
        private long seed = 1;
        private String secret = "";
        private double recomputeWeight = 1.0;
        private long heartbeatMillis = 250;
        private long suspectAfterMillis = 1000;
        private long deadAfterMillis = 3000;
        private long loadIntervalMillis = 200;
        private long lookupBudgetMillis = 10;
        private long storeTimeoutMillis = 500;
        private long engineWindowMillis = 250;
        private long engineIdleTimeoutMillis = 4000;
        private long domainDistanceMillis = 1;
        private int ledgerShards = 1;
        private long ledgerWriteIntervalMillis = 10;
        private long ledgerRetentionMillis = 3_600_000;
        private int ledgerSegmentBytes = 131_072;
        private long propagationTimeoutMillis = 5000;
        private double retryRatio = 0.1;
        private long quarantineMillis = 600_000;
        private long orderValidityMillis = 5000;
        private long orderLeaseMillis = 15_000;
        private boolean prefixAffinity = true;

        private Builder() {}

        /**
         * Sets this router's entry VM.
         *
         * @param value the value
         * @return this builder
         */
        public Builder self(EntryVm value) {
            self = value;
            return this;
        }

        /**
         * Sets peers to try before the platform's list is known.
         *
         * @param value the peers
         * @return this builder
         */
        public Builder seeds(List<EntryVm> value) {
            seeds = List.copyOf(value);
            return this;
        }

        /**
         * Sets the number of this life of the router; a restart must raise it.
         *
         * @param value the value
         * @return this builder
         */
        public Builder incarnation(long value) {
            incarnation = value;
            return this;
        }

        /**
         * Sets the seed of every random choice.
         *
         * @param value the value
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the secret that all routers share; it signs resume tokens and cache salts.
         *
         * @param value the value
         * @return this builder
         */
        public Builder secret(String value) {
            secret = value;
            return this;
        }

        /**
         * Sets how many milliseconds of waiting one millisecond of recomputing is worth.
         *
         * @param value the value
         * @return this builder
         */
        public Builder recomputeWeight(double value) {
            recomputeWeight = value;
            return this;
        }

        /**
         * Sets the least time between two heartbeats.
         *
         * @param value the value
         * @return this builder
         */
        public Builder heartbeatMillis(long value) {
            heartbeatMillis = value;
            return this;
        }

        /**
         * Sets the silence after which a peer is suspect.
         *
         * @param value the value
         * @return this builder
         */
        public Builder suspectAfterMillis(long value) {
            suspectAfterMillis = value;
            return this;
        }

        /**
         * Sets the silence after which a peer is dead.
         *
         * @param value the value
         * @return this builder
         */
        public Builder deadAfterMillis(long value) {
            deadAfterMillis = value;
            return this;
        }

        /**
         * Sets the time between two questions for an engine's load.
         *
         * @param value the value
         * @return this builder
         */
        public Builder loadIntervalMillis(long value) {
            loadIntervalMillis = value;
            return this;
        }

        /**
         * Sets the longest wait for the cache directory.
         *
         * @param value the value
         * @return this builder
         */
        public Builder lookupBudgetMillis(long value) {
            lookupBudgetMillis = value;
            return this;
        }

        /**
         * Sets the longest wait for the platform's store.
         *
         * @param value the value
         * @return this builder
         */
        public Builder storeTimeoutMillis(long value) {
            storeTimeoutMillis = value;
            return this;
        }

        /**
         * Sets the most work, as milliseconds of prefill, placed on an engine before requests wait here.
         *
         * @param value the value
         * @return this builder
         */
        public Builder engineWindowMillis(long value) {
            engineWindowMillis = value;
            return this;
        }

        /**
         * Sets the longest silence of an engine within an attempt before another engine takes over.
         *
         * @param value the value
         * @return this builder
         */
        public Builder engineIdleTimeoutMillis(long value) {
            engineIdleTimeoutMillis = value;
            return this;
        }

        /**
         * Sets the extra delay to another failure domain.
         *
         * @param value the value
         * @return this builder
         */
        public Builder domainDistanceMillis(long value) {
            domainDistanceMillis = value;
            return this;
        }

        /**
         * Sets the number of ledger shards.
         *
         * @param value the value
         * @return this builder
         */
        public Builder ledgerShards(int value) {
            ledgerShards = value;
            return this;
        }

        /**
         * Sets the least time between two writes to a ledger shard.
         *
         * @param value the value
         * @return this builder
         */
        public Builder ledgerWriteIntervalMillis(long value) {
            ledgerWriteIntervalMillis = value;
            return this;
        }

        /**
         * Sets how long the ledger keeps an answer at least.
         *
         * @param value the value
         * @return this builder
         */
        public Builder ledgerRetentionMillis(long value) {
            ledgerRetentionMillis = value;
            return this;
        }

        /**
         * Sets the size of finished ledger entries that are sealed into a segment.
         *
         * @param value the value
         * @return this builder
         */
        public Builder ledgerSegmentBytes(int value) {
            ledgerSegmentBytes = value;
            return this;
        }

        /**
         * Sets how long a confirmation waits for all routers.
         *
         * @param value the value
         * @return this builder
         */
        public Builder propagationTimeoutMillis(long value) {
            propagationTimeoutMillis = value;
            return this;
        }

        /**
         * Sets retries allowed for each first attempt.
         *
         * @param value the value
         * @return this builder
         */
        public Builder retryRatio(double value) {
            retryRatio = value;
            return this;
        }

        /**
         * Sets how long a suspicion lasts.
         *
         * @param value the value
         * @return this builder
         */
        public Builder quarantineMillis(long value) {
            quarantineMillis = value;
            return this;
        }

        /**
         * Sets how long an engine may still accept an order.
         *
         * @param value the value
         * @return this builder
         */
        public Builder orderValidityMillis(long value) {
            orderValidityMillis = value;
            return this;
        }

        /**
         * Sets the length of the lease on giving orders.
         *
         * @param value the value
         * @return this builder
         */
        public Builder orderLeaseMillis(long value) {
            orderLeaseMillis = value;
            return this;
        }

        /**
         * Sets whether cached prefixes count when an engine is chosen; off only to measure what they bring.
         *
         * @param value the value
         * @return this builder
         */
        public Builder prefixAffinity(boolean value) {
            prefixAffinity = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public RouterSettings build() {
            return new RouterSettings(
                    self,
                    seeds,
                    incarnation,
                    seed,
                    secret,
                    recomputeWeight,
                    heartbeatMillis,
                    suspectAfterMillis,
                    deadAfterMillis,
                    loadIntervalMillis,
                    lookupBudgetMillis,
                    storeTimeoutMillis,
                    engineWindowMillis,
                    engineIdleTimeoutMillis,
                    domainDistanceMillis,
                    ledgerShards,
                    ledgerWriteIntervalMillis,
                    ledgerRetentionMillis,
                    ledgerSegmentBytes,
                    propagationTimeoutMillis,
                    retryRatio,
                    quarantineMillis,
                    orderValidityMillis,
                    orderLeaseMillis,
                    prefixAffinity);
        }
    }
}
