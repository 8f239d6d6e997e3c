package org.fuchsiatrail;

/** An event of one attempt, reported by an engine or by the connection to it. */
public sealed interface EngineEvent {

    /**
     * Prefill is complete and tokens follow.
     *
     * @param echo the identifiers that the engine echoes
     * @param cachedTokens the number of prompt tokens served from the cache
     * @param promptTokens the total number of prompt tokens
     */
    record Started(EngineEcho echo, int cachedTokens, int promptTokens) implements EngineEvent {}

    /**
     * One generated token.
     *
     * @param echo the identifiers that the engine echoes
     * @param position the position of the token in the answer, from 0
     * @param text the text of the token
     */
    record Token(EngineEcho echo, long position, String text) implements EngineEvent {}

    /**
     * The answer is complete.
     *
     * @param echo the identifiers that the engine echoes
     * @param count the number of tokens in the whole answer
     */
    record Ended(EngineEcho echo, long count) implements EngineEvent {}

    /**
     * The engine refused the attempt.
     *
     * @param request the request that it refused
     * @param reason one of {@code busy}, {@code weights}, {@code incarnation}, {@code draining}, {@code invalid}
     * @param retryAfterMillis the time after which to try this engine again, in milliseconds
     */
    record Refused(RequestId request, String reason, long retryAfterMillis) implements EngineEvent {}

    /**
     * The connection was closed before the answer was complete.
     *
     * @param connected whether a connection to the engine was established
     * @param reason the error that the connection reported
     */
    record Lost(boolean connected, String reason) implements EngineEvent {}
}
