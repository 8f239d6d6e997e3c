package org.fuchsiatrail;

import java.util.Map;

/** An action that the core requests from the code around it, which owns sockets, threads and the log. */
public sealed interface Output {

    /**
     * Starts a request on an engine.
     *
     * @param attempt the attempt
     * @param engine the engine
     * @param address the receiver's IP address and port
     * @param call the request to run
     */
    record StartEngine(AttemptId attempt, UpstreamId engine, String address, EngineCall call) implements Output {}

    /**
     * Cancels a request on an engine.
     *
     * @param attempt the attempt
     * @param engine the engine
     * @param address the receiver's IP address and port
     * @param request the request to cancel; the engine identifies it by this id
     */
    record CancelEngine(AttemptId attempt, UpstreamId engine, String address, RequestId request) implements Output {}

    /**
     * Calls a service once; the network code must not retry the call.
     *
     * @param attempt the attempt
     * @param service the upstream
     * @param address the receiver's IP address and port
     * @param request the request id, which the service echoes
     * @param customer the customer
     * @param call the call to send
     * @param deadlineAtMillis when to stop waiting for the answer, as a time in milliseconds
     */
    record CallService(
            AttemptId attempt,
            UpstreamId service,
            String address,
            RequestId request,
            CustomerId customer,
            ServiceCall call,
            long deadlineAtMillis)
            implements Output {}

    /**
     * Queries the load of an engine.
     *
     * @param engine the engine
     * @param address the receiver's IP address and port
     */
    record QueryLoad(UpstreamId engine, String address) implements Output {}

    /**
     * Reads cache events of an engine.
     *
     * @param engine the engine
     * @param address the receiver's IP address and port
     * @param fromSequence the sequence number of the first event to read
     */
    record ReadCacheEvents(UpstreamId engine, String address, long fromSequence) implements Output {}

    /**
     * Orders an engine to load a model version.
     *
     * @param order the id of the order
     * @param engine the engine
     * @param address the receiver's IP address and port
     * @param model the model and weights to load
     * @param fencingToken the fencing token of the order lease under which the order is issued
     * @param expiresInMillis how long the engine may still accept the order, in milliseconds
     */
    record OrderLoad(
            String order,
            UpstreamId engine,
            String address,
            ModelVersion model,
            long fencingToken,
            long expiresInMillis)
            implements Output {}

    /**
     * Sends a message to a peer.
     *
     * @param to the peer
     * @param address the receiver's IP address and port
     * @param message the message
     */
    record SendToPeer(EntryVmId to, String address, PeerMessage message) implements Output {}

    /**
     * Calls the platform's store.
     *
     * @param call the number of the call
     * @param request the call
     * @param timeoutMillis how long to wait for the result, in milliseconds
     */
    record CallStore(long call, StoreRequest request, long timeoutMillis) implements Output {}

    /**
     * Sends an answer, or a part of one, to a caller.
     *
     * @param request the request
     * @param answer the answer or a part of it
     */
    record AnswerCaller(RequestId request, CallerAnswer answer) implements Output {}

    /**
     * Sends an answer to an operator.
     *
     * @param call the number of the operator's request
     * @param answer the answer
     */
    record AnswerOperator(long call, OperatorAnswer answer) implements Output {}

    /**
     * Writes a line to the log.
     *
     * @param component the component that writes the line; the JSON field is {@code part}
     * @param message one short sentence
     * @param fields the structured fields of the line
     */
    record LogEvent(String component, String message, Map<String, Object> fields) implements Output {}

    /**
     * Increments a counter.
     *
     * @param metric the name of the counter
     * @param amount the amount to add
     */
    record Count(String metric, long amount) implements Output {}

    /** The graceful shutdown is complete; the process may exit. */
    record Stopped() implements Output {}
}
