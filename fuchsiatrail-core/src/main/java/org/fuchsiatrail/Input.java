package org.fuchsiatrail;

/**
 * An event outside the core that {@link RouterCore#tick} has to handle.
 *
 * <p>The simple names of the records are values of the log field {@code kind}.
 */
public sealed interface Input {

    /**
     * A caller sent a chat request.
     *
     * @param request the id of the new request
     * @param apiKey the API key that the caller sent, or an empty string
     * @param call the content of the request
     */
    record ChatArrived(RequestId request, String apiKey, ChatCall call) implements Input {}

    /**
     * A caller sent a call to a service.
     *
     * @param request the id of the new request
     * @param apiKey the API key that the caller sent, or an empty string
     * @param call the content of the request
     */
    record ServiceArrived(RequestId request, String apiKey, ServiceCall call) implements Input {}

    /**
     * A caller closed its connection.
     *
     * @param request the caller's request
     */
    record CallerLeft(RequestId request) implements Input {}

    /**
     * An engine, or the connection to it, produced an event of an attempt.
     *
     * @param attempt the attempt
     * @param event the event
     */
    record EngineSpoke(AttemptId attempt, EngineEvent event) implements Input {}

    /**
     * A call to a service ended.
     *
     * @param attempt the attempt
     * @param outcome the outcome
     */
    record ServiceEnded(AttemptId attempt, ServiceOutcome outcome) implements Input {}

    /**
     * An engine reported its load.
     *
     * @param report the report
     */
    record LoadArrived(LoadReport report) implements Input {}

    /**
     * An engine did not respond to a load query.
     *
     * @param engine the engine
     */
    record LoadMissing(UpstreamId engine) implements Input {}

    /**
     * Cache events of an engine arrived.
     *
     * @param events the events
     */
    record CacheEventsArrived(CacheEvents events) implements Input {}

    /**
     * An engine responded to an order.
     *
     * @param order the id of the order
     * @param accepted whether the engine accepted the order
     * @param reason why the order was not accepted
     */
    record OrderEnded(String order, boolean accepted, String reason) implements Input {}

    /**
     * A message from a peer was received.
     *
     * @param from the peer
     * @param message the message
     */
    record PeerSpoke(EntryVmId from, PeerMessage message) implements Input {}

    /**
     * The platform's store returned a result, or the call to it failed.
     *
     * @param call the number of the call that this answers
     * @param result the result
     */
    record StoreAnswered(long call, StoreResult result) implements Input {}

    /**
     * An operator sent a request.
     *
     * @param call the number of the operator's request
     * @param request the operator's request
     */
    record OperatorAsked(long call, OperatorRequest request) implements Input {}

    /** The process was requested to shut down gracefully. */
    record StopAsked() implements Input {}
}
