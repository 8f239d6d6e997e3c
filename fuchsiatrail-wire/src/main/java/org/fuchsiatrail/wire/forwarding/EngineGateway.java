package org.fuchsiatrail.wire.forwarding;

import java.util.function.Consumer;

import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;

/** Carries orders and questions to engines, each once. */
public interface EngineGateway {

    /**
     * Sends an order.
     *
     * @param order the order
     * @param listener takes the answer, once, on the event loop
     */
    void order(ForwardingOutput.OrderWeights order, Consumer<OrderReply> listener);

    /**
     * Asks for an engine's state.
     *
     * @param question the engine
     * @param listener takes the answer, once, on the event loop
     */
    void state(ForwardingOutput.QueryEngineState question, Consumer<OrderReply> listener);

    /**
     * Asks an engine or a store of kept KV cache what changed in its cache.
     *
     * @param question the engine or store
     * @param listener takes the answer, once, on the event loop
     */
    void cacheEvents(ForwardingOutput.ReadCacheEvents question, Consumer<CacheEventsReply> listener);

    /**
     * Asks an engine or a store of kept KV cache for all that its cache holds.
     *
     * @param question the engine or store
     * @param listener takes the answer, once, on the event loop
     */
    void cache(ForwardingOutput.ReadCacheSnapshot question, Consumer<CacheEventsReply> listener);
}
