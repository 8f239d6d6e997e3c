package org.fuchsiatrail;

import java.util.List;
import java.util.Objects;

/**
 * The settings of one router; all times are in milliseconds.
 *
 * @param self this router's entry VM
 * @param seeds peers to contact before the platform's list of entry VMs is known
 * @param incarnation the incarnation number of the router; each restart must increase it
 * @param seed the seed of all random choices
 * @param secret the secret that all routers share, used to sign resume tokens and to derive cache salts
 * @param recomputeWeight the minimum weight of the predicted prefill time when it is added to the predicted time to the
 *     first token to compare engines; longer queues on engines raise the weight
 * @param heartbeatMillis the minimum interval between two periodic heartbeats
 * @param suspectAfterMillis the time without a heartbeat, in addition to the heartbeat interval, after which a peer is
 *     suspected
 * @param deadAfterMillis the time without a heartbeat, in addition to the heartbeat interval, after which a peer is
 *     considered dead
 * @param loadIntervalMillis the interval between two load queries to an engine
 * @param lookupBudgetMillis the timeout of a lookup in the cache directory
 * @param storeTimeoutMillis the timeout of a call to the platform's store
 * @param engineWindowMillis the maximum work placed on an engine, as milliseconds of prefill; beyond it, requests are
 *     queued in the router
 * @param engineIdleTimeoutMillis how long an engine may send no event within an attempt before the request moves to
 *     another engine
 * @param domainDistanceMillis the additional latency to another failure domain
 * @param ledgerShards the number of ledger shards
 * @param ledgerWriteIntervalMillis the minimum interval between two writes to a ledger shard
 * @param ledgerRetentionMillis the minimum time for which the ledger keeps an answer
 * @param ledgerSegmentBytes the total size of finished ledger entries at which they are sealed into a segment
 * @param propagationTimeoutMillis how long a confirmation waits until all routers report the new revision
 * @param retryRatio the number of retries allowed per first attempt
 * @param quarantineMillis how long a request stays suspected of crashing engines
 * @param orderValidityMillis how long an engine may accept an order after it was issued
 * @param orderLeaseMillis the duration of the order lease
 * @param prefixAffinity whether placement considers cached prefixes; disabled only to measure their benefit
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

    /** Rejects settings without an entry VM or a secret. */
    public RouterSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(secret, "secret");
    }

    /**
     * Returns a new builder with the defaults.
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
         * Sets the peers to contact before the platform's list of entry VMs is known.
         *
         * @param value the peers
         * @return this builder
         */
        public Builder seeds(List<EntryVm> value) {
            seeds = List.copyOf(value);
            return this;
        }

        /**
         * Sets the incarnation number of the router; each restart must increase it.
         *
         * @param value the value
         * @return this builder
         */
        public Builder incarnation(long value) {
            incarnation = value;
            return this;
        }

        /**
         * Sets the seed of all random choices.
         *
         * @param value the value
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the secret that all routers share, used to sign resume tokens and to derive cache salts.
         *
         * @param value the value
         * @return this builder
         */
        public Builder secret(String value) {
            secret = value;
            return this;
        }

        /**
         * Sets the minimum weight of the predicted prefill time when it is added to the predicted time to the first
         * token to compare engines; longer queues on engines raise the weight.
         *
         * @param value the value
         * @return this builder
         */
        public Builder recomputeWeight(double value) {
            recomputeWeight = value;
            return this;
        }

        /**
         * Sets the minimum interval between two periodic heartbeats.
         *
         * @param value the value
         * @return this builder
         */
        public Builder heartbeatMillis(long value) {
            heartbeatMillis = value;
            return this;
        }

        /**
         * Sets the time without a heartbeat, in addition to the heartbeat interval, after which a peer is suspected.
         *
         * @param value the value
         * @return this builder
         */
        public Builder suspectAfterMillis(long value) {
            suspectAfterMillis = value;
            return this;
        }

        /**
         * Sets the time without a heartbeat, in addition to the heartbeat interval, after which a peer is considered
         * dead.
         *
         * @param value the value
         * @return this builder
         */
        public Builder deadAfterMillis(long value) {
            deadAfterMillis = value;
            return this;
        }

        /**
         * Sets the interval between two load queries to an engine.
         *
         * @param value the value
         * @return this builder
         */
        public Builder loadIntervalMillis(long value) {
            loadIntervalMillis = value;
            return this;
        }

        /**
         * Sets the timeout of a lookup in the cache directory.
         *
         * @param value the value
         * @return this builder
         */
        public Builder lookupBudgetMillis(long value) {
            lookupBudgetMillis = value;
            return this;
        }

        /**
         * Sets the timeout of a call to the platform's store.
         *
         * @param value the value
         * @return this builder
         */
        public Builder storeTimeoutMillis(long value) {
            storeTimeoutMillis = value;
            return this;
        }

        /**
         * Sets the maximum work placed on an engine, as milliseconds of prefill; beyond it, requests are queued in the
         * router.
         *
         * @param value the value
         * @return this builder
         */
        public Builder engineWindowMillis(long value) {
            engineWindowMillis = value;
            return this;
        }

        /**
         * Sets how long an engine may send no event within an attempt before the request moves to another engine.
         *
         * @param value the value
         * @return this builder
         */
        public Builder engineIdleTimeoutMillis(long value) {
            engineIdleTimeoutMillis = value;
            return this;
        }

        /**
         * Sets the additional latency to another failure domain.
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
         * Sets the minimum interval between two writes to a ledger shard.
         *
         * @param value the value
         * @return this builder
         */
        public Builder ledgerWriteIntervalMillis(long value) {
            ledgerWriteIntervalMillis = value;
            return this;
        }

        /**
         * Sets the minimum time for which the ledger keeps an answer.
         *
         * @param value the value
         * @return this builder
         */
        public Builder ledgerRetentionMillis(long value) {
            ledgerRetentionMillis = value;
            return this;
        }

        /**
         * Sets the total size of finished ledger entries at which they are sealed into a segment.
         *
         * @param value the value
         * @return this builder
         */
        public Builder ledgerSegmentBytes(int value) {
            ledgerSegmentBytes = value;
            return this;
        }

        /**
         * Sets how long a confirmation waits until all routers report the new revision.
         *
         * @param value the value
         * @return this builder
         */
        public Builder propagationTimeoutMillis(long value) {
            propagationTimeoutMillis = value;
            return this;
        }

        /**
         * Sets the number of retries allowed per first attempt.
         *
         * @param value the value
         * @return this builder
         */
        public Builder retryRatio(double value) {
            retryRatio = value;
            return this;
        }

        /**
         * Sets how long a request stays suspected of crashing engines.
         *
         * @param value the value
         * @return this builder
         */
        public Builder quarantineMillis(long value) {
            quarantineMillis = value;
            return this;
        }

        /**
         * Sets how long an engine may accept an order after it was issued.
         *
         * @param value the value
         * @return this builder
         */
        public Builder orderValidityMillis(long value) {
            orderValidityMillis = value;
            return this;
        }

        /**
         * Sets the duration of the order lease.
         *
         * @param value the value
         * @return this builder
         */
        public Builder orderLeaseMillis(long value) {
            orderLeaseMillis = value;
            return this;
        }

        /**
         * Sets whether placement considers cached prefixes; disabled only to measure their benefit.
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
