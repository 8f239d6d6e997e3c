package org.fuchsiatrail.wire.forwarding;

import java.util.function.Consumer;

import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;

/** Sends orders and queries to engines, each at most once. */
public interface EngineGateway {

    /**
     * Sends an order.
     *
     * @param order the order
     * @param listener receives the reply, exactly once, on the event loop
     */
    void sendOrder(ForwardingOutput.OrderWeights order, Consumer<OrderReply> listener);

    /**
     * Queries the state of an engine.
     *
     * @param query the engine and its address
     * @param listener receives the reply, exactly once, on the event loop
     */
    void queryState(ForwardingOutput.QueryEngineState query, Consumer<OrderReply> listener);

    /**
     * Reads the cache events of an engine or a KV cache store.
     *
     * @param query the engine or store, and the cursor to read from
     * @param listener receives the reply, exactly once, on the event loop
     */
    void readCacheEvents(ForwardingOutput.ReadCacheEvents query, Consumer<CacheEventsReply> listener);

    /**
     * Reads a snapshot of the cache of an engine or a KV cache store.
     *
     * @param query the engine or store
     * @param listener receives the reply, exactly once, on the event loop
     */
    void readCacheSnapshot(ForwardingOutput.ReadCacheSnapshot query, Consumer<CacheEventsReply> listener);
}
