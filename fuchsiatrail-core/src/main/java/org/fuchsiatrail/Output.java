package org.fuchsiatrail;

import java.util.Map;

/** What the core wants done outside. */
public sealed interface Output {

    /**
     * Start a request on an engine.
     *
     * @param attempt the attempt
     * @param engine the engine
     * @param address its IP address and port
     * @param call what to run
     */
    record StartEngine(AttemptId attempt, UpstreamId engine, String address, EngineCall call) implements Output {}

    /**
     * Cancel a request on an engine.
     *
     * @param attempt the attempt
     * @param engine the engine
     * @param address its IP address and port
     * @param request the request as the engine knows it
     */
    record CancelEngine(AttemptId attempt, UpstreamId engine, String address, RequestId request) implements Output {}

    /**
     * Call a plain service, once.
     *
     * @param attempt the attempt
     * @param service the upstream
     * @param address its IP address and port
     * @param request the request, which the service echoes
     * @param customer the customer
     * @param call what to send
     * @param deadlineAtMillis when to stop waiting
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
     * Ask an engine for its load.
     *
     * @param engine the engine
     * @param address its IP address and port
     */
    record QueryLoad(UpstreamId engine, String address) implements Output {}

    /**
     * Read an engine's cache events.
     *
     * @param engine the engine
     * @param address its IP address and port
     * @param fromSequence the first event wanted
     */
    record ReadCacheEvents(UpstreamId engine, String address, long fromSequence) implements Output {}

    /**
     * Order an engine to load a model version.
     *
     * @param order the order's id
     * @param engine the engine
     * @param address its IP address and port
     * @param model the model and weights to load
     * @param fencingToken the number of the lease holding behind the order
     * @param expiresInMillis how long the engine may still accept it
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
     * Send a message to a peer.
     *
     * @param to the peer
     * @param address its IP address and port
     * @param message the message
     */
    record SendToPeer(EntryVmId to, String address, PeerMessage message) implements Output {}

    /**
     * Call the platform's store.
     *
     * @param call the number of the call
     * @param request the call
     * @param timeoutMillis how long to wait for its answer
     */
    record CallStore(long call, StoreRequest request, long timeoutMillis) implements Output {}

    /**
     * Answer a caller.
     *
     * @param request the request
     * @param answer the answer or a part of it
     */
    record AnswerCaller(RequestId request, CallerAnswer answer) implements Output {}

    /**
     * Answer an operator.
     *
     * @param call the number of the question
     * @param answer the answer
     */
    record AnswerOperator(long call, OperatorAnswer answer) implements Output {}

    /**
     * Write a line to the log.
     *
     * @param part the part of the router that speaks
     * @param sentence one short sentence
     * @param fields what goes with it
     */
    record LogEvent(String component, String message, Map<String, Object> fields) implements Output {}

    /**
     * Count an event.
     *
     * @param metric the name of the counter
     * @param amount what to add
     */
    record Count(String metric, long amount) implements Output {}

    /** Nothing is left to do; the process may end. */
    record Stopped() implements Output {}
}
