package org.fuchsiatrail.wire.http;

/** An event of a connection's input beside its requests, passed along the channel pipeline. */
sealed interface CallerInput {

    /**
     * A request was not received completely and correctly; what follows on the connection is dropped.
     *
     * @param status the HTTP status of its refusal
     */
    record Refused(int status) implements CallerInput {}

    /** The caller of a request waits for an interim response before it sends the body. */
    record ContinueExpected() implements CallerInput {}

    /** No byte was received or sent on the connection for longer than the idle timeout. */
    record Idle() implements CallerInput {}

    /** Other connections have their turn; what has arrived on this one is left until reading goes on. */
    record TurnEnded() implements CallerInput {}
}
