package org.fuchsiatrail;

/** What an engine, or the connection to it, says about one attempt. */
public sealed interface EngineEvent {

    /**
     * The prompt is computed and tokens follow.
     *
     * @param echo whose event this is
     * @param cachedTokens prompt tokens taken from the cache
     * @param promptTokens prompt tokens in all
     */
    record Started(EngineEcho echo, int cachedTokens, int promptTokens) implements EngineEvent {}

    /**
     * One generated token.
     *
     * @param echo whose event this is
     * @param position the place of the token in the answer, from 0
     * @param text the text of the token
     */
    record Token(EngineEcho echo, long position, String text) implements EngineEvent {}

    /**
     * The answer is whole.
     *
     * @param echo whose event this is
     * @param count the tokens of the whole answer
     */
    record Ended(EngineEcho echo, long count) implements EngineEvent {}

    /**
     * The engine did not take the attempt.
     *
     * @param reason a word: {@code busy}, {@code weights}, {@code incarnation}, {@code draining}, {@code invalid}
     * @param retryAfterMillis when to ask this engine again, in milliseconds
     */
    record Refused(String reason, long retryAfterMillis) implements EngineEvent {}

    /**
     * The connection ended before the answer did.
     *
     * @param connected whether the engine had been reached at all
     * @param reason what the connection reported
     */
    record Lost(boolean connected, String reason) implements EngineEvent {}
}
