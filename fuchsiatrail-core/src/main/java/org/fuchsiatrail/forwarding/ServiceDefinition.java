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
        String name, int maximumConnections, Optional<EngineTraits> engine, Optional<KeptCache> keptCache) {

    /**
     * What a service's model engines can do.
     *
     * @param slots requests that an engine generates for at once
     * @param memoryTokens tokens that fit into an engine's KV memory
     */
    public record EngineTraits(int slots, long memoryTokens) {}

    /**
     * A store of kept KV cache.
     *
     * @param address its IP address and port
     * @param failureDomain the name of the failure domain it stands in
     * @param memoryTokens tokens that fit into it
     */
    public record KeptCache(String address, String failureDomain, long memoryTokens) {}
}
