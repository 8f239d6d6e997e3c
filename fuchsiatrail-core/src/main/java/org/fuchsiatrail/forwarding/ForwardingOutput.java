package org.fuchsiatrail.forwarding;

import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;

/** An action that the forwarding core requests from the code around it, which owns sockets, threads and the log. */
public sealed interface ForwardingOutput {

    /**
     * Sends a request to an upstream as one attempt.
     *
     * @param attempt the attempt
     * @param request the request
     * @param streaming whether the answer is forwarded event by event
     * @param dispatch the parameters of the attempt
     */
    record Send(AttemptId attempt, RequestId request, boolean streaming, Dispatch dispatch)
            implements ForwardingOutput {}

    /**
     * Closes the connection of an attempt.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements ForwardingOutput {}

    /**
     * Forwards an attempt's answer to the caller; for streams, all later events too.
     *
     * @param request the request
     * @param attempt the attempt
     */
    record Deliver(RequestId request, AttemptId attempt) implements ForwardingOutput {}

    /**
     * Closes a caller's stream without its regular end, so that a truncated answer cannot look complete.
     *
     * @param request the request
     */
    record AbortStream(RequestId request) implements ForwardingOutput {}

    /**
     * Answers a caller with a result code of the router instead of an upstream's answer.
     *
     * @param request the request
     * @param code the result code
     * @param retryAfterMillis the retry time (Retry-After) in milliseconds, or 0 for none
     */
    record Refuse(RequestId request, ResultCode code, long retryAfterMillis) implements ForwardingOutput {}

    /**
     * Calls the platform's store.
     *
     * @param call the number of the call
     * @param request the call
     * @param timeoutMillis how long to wait for the reply, in milliseconds
     */
    record CallStore(long call, StoreCall request, long timeoutMillis) implements ForwardingOutput {}

    /**
     * Orders an engine to load new weights at once.
     *
     * @param engine the engine in its current incarnation
     * @param address its IP address and port
     * @param model the model
     * @param version the version
     * @param holder the lease holder, which is the router that issues the order
     * @param fencingToken the fencing token of the order lease
     * @param expectedOrders the number of orders that the engine must have accepted before this one
     * @param switchMode what becomes of the requests that run on the engine
     */
    record OrderWeights(
            UpstreamId engine,
            String address,
            String model,
            long version,
            String holder,
            long fencingToken,
            long expectedOrders,
            SwitchMode switchMode)
            implements ForwardingOutput {}

    /**
     * Queries the state of an engine.
     *
     * @param engine the engine
     * @param address its IP address and port
     */
    record QueryEngineState(UpstreamId engine, String address) implements ForwardingOutput {}

    /**
     * Reads the cache events of an engine or a KV cache store.
     *
     * @param holder the engine or KV cache store
     * @param address its IP address and port
     * @param cursor the position to read from, as the last reply returned it
     * @param waitMillis how long the receiver may wait for a change (long poll), in milliseconds
     */
    record ReadCacheEvents(UpstreamId holder, String address, long cursor, long waitMillis)
            implements ForwardingOutput {}

    /**
     * Reads a snapshot of the whole cache of an engine or a KV cache store, which pauses its work to produce it.
     *
     * @param holder the engine or KV cache store
     * @param address its IP address and port
     */
    record ReadCacheSnapshot(UpstreamId holder, String address) implements ForwardingOutput {}

    /**
     * Sends an update to a peer.
     *
     * @param to the peer
     * @param address its IP address and port
     * @param message the update
     */
    record SendToPeer(EntryVmId to, String address, PeerMessage.ForwardingNews message) implements ForwardingOutput {}

    /**
     * Writes a line to the log.
     *
     * @param component the component that writes the line; the JSON field is {@code part}
     * @param message one short sentence
     * @param fields the structured fields of the line: the inputs of a decision and its outcome
     */
    record LogEvent(String component, String message, Map<String, Object> fields) implements ForwardingOutput {}

    /**
     * Increments a counter by one.
     *
     * @param metric the counter
     */
    record Count(String metric) implements ForwardingOutput {}

    /**
     * Records a duration in a histogram.
     *
     * @param metric the histogram
     * @param millis the duration in milliseconds
     */
    record Measure(String metric, long millis) implements ForwardingOutput {}

    /**
     * Reports that an exception ended the handling of an input. The request that it belongs to gets no other answer of
     * the core.
     *
     * @param input the input, whose effects are incomplete
     * @param cause the exception
     */
    record InputFailed(ForwardingInput input, Throwable cause) implements ForwardingOutput {}

    /**
     * Reports that an exception ended a part of the core, which runs again at the next tick.
     *
     * @param system the part
     * @param request the request that it worked on, which gets no other answer of the core; empty if it was none
     * @param cause the exception
     */
    record SystemFailed(String system, Optional<RequestId> request, Throwable cause) implements ForwardingOutput {}

    /** The graceful shutdown is complete; the process may exit. */
    record Stopped() implements ForwardingOutput {}
}
