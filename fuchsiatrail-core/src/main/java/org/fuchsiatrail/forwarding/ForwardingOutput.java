package org.fuchsiatrail.forwarding;

import java.util.Map;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;

/** What the forwarding core wants done outside. */
public sealed interface ForwardingOutput {

    /**
     * Send a request to an upstream.
     *
     * @param attempt the attempt
     * @param request the request
     * @param stream whether its answer is passed on event by event
     * @param terms the terms
     */
    record Send(AttemptId attempt, RequestId request, boolean streaming, Dispatch dispatch)
            implements ForwardingOutput {}

    /**
     * Close the connection of an attempt.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements ForwardingOutput {}

    /**
     * Pass an attempt's answer on to the caller, and for streams all that follows.
     *
     * @param request the request
     * @param attempt the attempt
     */
    record Deliver(RequestId request, AttemptId attempt) implements ForwardingOutput {}

    /**
     * End a caller's stream without its end, so that it cannot look complete.
     *
     * @param request the request
     */
    record AbortStream(RequestId request) implements ForwardingOutput {}

    /**
     * Answer a caller with a result of the router's own.
     *
     * @param request the request
     * @param code what happened
     * @param retryAfterMillis when to come back, in milliseconds; 0 for no advice
     */
    record Refuse(RequestId request, ResultCode code, long retryAfterMillis) implements ForwardingOutput {}

    /**
     * Call the platform's store.
     *
     * @param call the number of the call
     * @param request the call
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     */
    record CallStore(long call, StoreCall request, long timeoutMillis) implements ForwardingOutput {}

    /**
     * Order an engine to take new weights at once; streams that still run on it are reset.
     *
     * @param engine the engine, in this life
     * @param address its IP address and port
     * @param model the model
     * @param version the version
     * @param holder the router that orders
     * @param fencingToken the number of its right to order
     * @param expectedOrders the orders that the engine must have accepted before
     */
    record OrderWeights(
            UpstreamId engine,
            String address,
            String model,
            long version,
            String holder,
            long fencingToken,
            long expectedOrders)
            implements ForwardingOutput {}

    /**
     * Ask an engine for its state.
     *
     * @param engine the engine
     * @param address its IP address and port
     */
    record QueryEngineState(UpstreamId engine, String address) implements ForwardingOutput {}

    /**
     * Ask an engine or a store of kept KV cache what changed in its cache.
     *
     * @param holder the engine or store
     * @param address its IP address and port
     * @param after where to go on reading, as told by the last answer
     * @param waitMillis how long to wait there for a change, in milliseconds
     */
    record ReadCacheEvents(UpstreamId holder, String address, long cursor, long waitMillis)
            implements ForwardingOutput {}

    /**
     * Ask an engine or a store of kept KV cache for all that its cache holds; it pauses its work to tell.
     *
     * @param holder the engine or store
     * @param address its IP address and port
     */
    record ReadCacheSnapshot(UpstreamId holder, String address) implements ForwardingOutput {}

    /**
     * Send news to a peer.
     *
     * @param to the peer
     * @param address its IP address and port
     * @param message the news
     */
    record SendToPeer(EntryVmId to, String address, PeerMessage.ForwardingNews message) implements ForwardingOutput {}

    /**
     * Write a line to the log.
     *
     * @param part the part that speaks
     * @param sentence one short sentence
     * @param fields the inputs of a decision and its outcome
     */
    record LogEvent(String component, String message, Map<String, Object> fields) implements ForwardingOutput {}

    /**
     * Count an event.
     *
     * @param metric the counter
     */
    record Count(String metric) implements ForwardingOutput {}

    /**
     * Record a duration.
     *
     * @param metric the histogram
     * @param millis the duration in milliseconds
     */
    record Measure(String metric, long millis) implements ForwardingOutput {}

    /** Nothing is left to do; the process may end. */
    record Stopped() implements ForwardingOutput {}
}
