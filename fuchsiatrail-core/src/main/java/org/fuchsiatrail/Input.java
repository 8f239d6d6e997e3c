package org.fuchsiatrail;

/** What happened outside the core since the last tick. */
public sealed interface Input {

    /**
     * A caller asks for a generated answer.
     *
     * @param request the new request
     * @param apiKey the key the caller sent, or an empty text
     * @param call what it asks
     */
    record ChatArrived(RequestId request, String apiKey, ChatCall call) implements Input {}

    /**
     * A caller calls a plain service.
     *
     * @param request the new request
     * @param apiKey the key the caller sent, or an empty text
     * @param call what it asks
     */
    record ServiceArrived(RequestId request, String apiKey, ServiceCall call) implements Input {}

    /**
     * A caller closed its connection.
     *
     * @param request its request
     */
    record CallerLeft(RequestId request) implements Input {}

    /**
     * An engine said something about an attempt.
     *
     * @param attempt the attempt
     * @param event what it said
     */
    record EngineSpoke(AttemptId attempt, EngineEvent event) implements Input {}

    /**
     * A call to a plain service ended.
     *
     * @param attempt the attempt
     * @param outcome how it ended
     */
    record ServiceEnded(AttemptId attempt, ServiceOutcome outcome) implements Input {}

    /**
     * An engine reported its load.
     *
     * @param report the report
     */
    record LoadArrived(LoadReport report) implements Input {}

    /**
     * An engine did not answer a question for its load.
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
     * An engine answered an order.
     *
     * @param order the order's id
     * @param accepted whether it took effect
     * @param reason why not
     */
    record OrderEnded(String order, boolean accepted, String reason) implements Input {}

    /**
     * A peer sent a message.
     *
     * @param from the peer
     * @param message what it sent
     */
    record PeerSpoke(EntryVmId from, PeerMessage message) implements Input {}

    /**
     * The platform's store answered.
     *
     * @param call the number of the call
     * @param result the answer
     */
    record StoreAnswered(long call, StoreResult result) implements Input {}

    /**
     * An operator asked something.
     *
     * @param call the number of the question
     * @param request the question
     */
    record OperatorAsked(long call, OperatorRequest request) implements Input {}

    /** The process was asked to stop. */
    record StopAsked() implements Input {}
}
