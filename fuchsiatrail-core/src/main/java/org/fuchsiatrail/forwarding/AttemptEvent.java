package org.fuchsiatrail.forwarding;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.fuchsiatrail.UpstreamId;

/** An event of one attempt: progress of an upstream's answer, or the loss of the connection. */
public sealed interface AttemptEvent {

    /**
     * The status and headers of an upstream's response to the request of the attempt.
     *
     * @param status the HTTP status
     * @param verified whether the response carries the upstream's signature
     * @param notExecuted whether the upstream reports that it did not execute the request
     * @param load the upstream's load, when reported
     * @param weightsVersion the version of the weights that generate the answer, when reported
     * @param requestLimit the requests a second that the upstream accepts from all routers together, when it names a
     *     limit
     * @param requestedPause the time in which the upstream wants no further requests of this router, when it asks for
     *     one
     * @param leaving whether the upstream says that it is leaving
     * @param withoutPath whether the request was relayed to a router that reaches no upstream either
     * @param notSent whether the request was relayed to a router that sent it to no upstream
     * @param ranAt the upstream that answered a relayed request, when the other router names it
     * @param lostAt the upstream at which a router lost its attempt of a relayed request, when it reports that
     */
    record Head(
            int status,
            boolean verified,
            boolean notExecuted,
            Optional<UpstreamLoad> load,
            OptionalLong weightsVersion,
            OptionalDouble requestLimit,
            Optional<RequestedPause> requestedPause,
            boolean leaving,
            boolean withoutPath,
            boolean notSent,
            Optional<UpstreamId> ranAt,
            Optional<UpstreamId> lostAt) {

        /**
         * Returns a builder of a head that reports nothing but its status.
         *
         * @param status the HTTP status
         * @return a builder
         */
        public static AnswerHeadBuilder builder(int status) {
            return new AnswerHeadBuilder(status);
        }
    }

    /**
     * A complete answer was received; nothing of it was forwarded yet.
     *
     * @param head the head of the answer
     */
    record Answered(Head head) implements AttemptEvent {}

    /**
     * The first event of a stream was received; {@link ForwardingOutput.Deliver} forwards it to the caller.
     *
     * @param head the head of its answer
     * @param firstEventId the id of that event, or an empty string
     */
    record Started(Head head, String firstEventId) implements AttemptEvent {}

    /**
     * A further event of the stream was forwarded to the caller.
     *
     * @param lastEventId its id, or the id of the last event that had one, or an empty string
     */
    record Progressed(String lastEventId) implements AttemptEvent {}

    /** The stream ended regularly. */
    record Finished() implements AttemptEvent {}

    /**
     * A response to another request, or one that does not show which request it answers, was received instead of the
     * answer. It tells nothing of the request or the upstream; its connection was closed, and no answer will follow.
     *
     * @param answeredAttemptId the caller's id of the attempt that was answered, or an empty string
     */
    record Mismatched(String answeredAttemptId) implements AttemptEvent {}

    /**
     * The attempt failed; no complete answer will be received.
     *
     * @param sent whether any byte of the request may have been sent
     * @param connected whether a connection to the upstream was established
     * @param lastEventId the id of the last complete event that was forwarded, or an empty string
     * @param reason the error that the network side reported
     * @param refused whether the machine of the upstream refused the connection, so that no process listens there
     */
    record Lost(boolean sent, boolean connected, String lastEventId, String reason, boolean refused)
            implements AttemptEvent {

        /**
         * Creates the loss of an attempt whose connection was not refused.
         *
         * @param sent whether any byte of the request may have been sent
         * @param connected whether a connection to the upstream was established
         * @param lastEventId the id of the last complete event that was forwarded, or an empty string
         * @param reason the error that the network side reported
         */
        public Lost(boolean sent, boolean connected, String lastEventId, String reason) {
            this(sent, connected, lastEventId, reason, false);
        }

        /**
         * Creates the loss of an attempt whose connection was refused.
         *
         * @param reason the error that the network side reported
         * @return the loss
         */
        public static Lost refused(String reason) {
            return new Lost(false, false, "", reason, true);
        }
    }
}
