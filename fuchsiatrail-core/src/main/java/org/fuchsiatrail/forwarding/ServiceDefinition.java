package org.fuchsiatrail.forwarding;

import java.util.Optional;

/**
 * A service as the operators configure it.
 *
 * @param name its name
 * @param maximumConnections the most connections that one of its upstreams accepts from all callers
 * @param engine the traits of its upstreams when they are model engines
 * @param keptCache where the service keeps KV cache, when it is a store of kept KV cache
 */
public record ServiceDefinition(
        String name, int maximumConnections, Optional<EngineTraits> engine, Optional<KvCacheStore> kvCacheStore) {

    /**
     * What a service's model engines can do.
     *
     * @param slots requests that an engine generates for at once
     * @param memoryTokens tokens that fit into an engine's KV memory
     * @param tokenBytes bytes of KV memory for each token
     * @param linkMegabits megabits a second of an engine's link
     */
    public record EngineTraits(int slots, long memoryTokens, long bytesPerToken, long linkMegabitsPerSecond) {

        private static final double BITS_OF_MEGABIT_IN_MILLI = 1_000;

        /**
         * Returns how fast an engine fetches cached parts from another.
         *
         * @return tokens in a millisecond over an idle link, or 0 when the link is not known
         */
        public double fetchTokensPerMillisecond() {
            return bytesPerToken <= 0 ? 0 : linkMegabitsPerSecond * BITS_OF_MEGABIT_IN_MILLI / 8 / bytesPerToken;
        }
    }

    /**
     * A store of kept KV cache.
     *
     * @param address its IP address and port
     * @param failureDomain the name of the failure domain it stands in
     * @param memoryTokens tokens that fit into it
     */
    public record KvCacheStore(String address, String failureDomain, long memoryTokens) {}
}
