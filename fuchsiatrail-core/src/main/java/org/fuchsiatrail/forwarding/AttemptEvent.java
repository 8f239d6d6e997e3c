package org.fuchsiatrail.forwarding;

import java.util.Optional;
import java.util.OptionalLong;

/** What an upstream did with a request that it was sent. */
public sealed interface AttemptEvent {

    /**
     * What the head of an answer says.
     *
     * @param status the HTTP status
     * @param genuine whether it bears the request's id and the upstream's signature
     * @param notRun whether the upstream says that it did not run the request
     * @param load the upstream's load, when told
     * @param weightsVersion the version of the weights that answer, when told
     */
    record Head(
            int status,
            boolean verified,
            boolean notExecuted,
            Optional<UpstreamLoad> load,
            OptionalLong weightsVersion) {}

    /**
     * A whole answer arrived; nothing of it was passed on yet.
     *
     * @param head its head
     */
    record Answered(Head head) implements AttemptEvent {}

    /**
     * The first event of a stream arrived, and is passed on when the answer is delivered.
     *
     * @param head the head of its answer
     * @param firstEvent the id of that event, or an empty text
     */
    record Started(Head head, String firstEvent) implements AttemptEvent {}

    /**
     * A further event of the stream was passed on.
     *
     * @param lastEvent its id, or the id of the last event that had one, or an empty text
     */
    record Progressed(String lastEvent) implements AttemptEvent {}

    /** The stream ended as its upstream meant it to. */
    record Finished() implements AttemptEvent {}

    /**
     * No whole answer will come.
     *
     * @param sent whether any byte of the request may have left
     * @param connected whether a connection to the upstream was open
     * @param lastEvent the id of the last whole event that was passed on, or an empty text
     * @param reason what happened
     */
    record Lost(boolean sent, boolean connected, String lastEvent, String reason) implements AttemptEvent {}
}
