package org.fuchsiatrail.forwarding;

import java.util.Optional;

/**
 * A service as the operators configure it.
 *
 * @param name the name of the service
 * @param maximumConnections the maximum number of connections that each of its upstreams accepts from all callers
 * @param engine the capacity of its upstreams, when they are model engines
 * @param kvCacheStore the address and capacity of the store, when the service is a KV cache store
 */
public record ServiceDefinition(
        String name, int maximumConnections, Optional<EngineTraits> engine, Optional<KvCacheStore> kvCacheStore) {

    /**
     * The capacity of a service's model engines.
     *
     * @param slots the number of requests for which an engine generates concurrently
     * @param memoryTokens the capacity of an engine's KV cache, in tokens
     * @param bytesPerToken the KV cache size of one token, in bytes
     * @param linkMegabitsPerSecond the bandwidth of an engine's network link, in megabits per second
     */
    public record EngineTraits(int slots, long memoryTokens, long bytesPerToken, long linkMegabitsPerSecond) {

        private static final double BITS_PER_MILLISECOND_AT_1_MEGABIT_PER_SECOND = 1_000;

        /**
         * Returns the rate at which an engine fetches cached prompt parts from another engine.
         *
         * @return tokens per millisecond over an idle link, or 0 when the token size or the bandwidth is unknown
         */
        public double fetchTokensPerMillisecond() {
            return bytesPerToken <= 0
                    ? 0
                    : linkMegabitsPerSecond * BITS_PER_MILLISECOND_AT_1_MEGABIT_PER_SECOND / 8 / bytesPerToken;
        }
    }

    /**
     * A KV cache store.
     *
     * @param address the store's IP address and port
     * @param failureDomain the name of the store's failure domain
     * @param memoryTokens the capacity of the store, in tokens
     */
    public record KvCacheStore(String address, String failureDomain, long memoryTokens) {}
}
