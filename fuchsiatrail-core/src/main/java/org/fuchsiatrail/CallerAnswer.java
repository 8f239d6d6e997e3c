package org.fuchsiatrail;

/**
 * An answer to a caller, or a part of one. A chat answer consists of any number of tokens, followed by one end or
 * refusal.
 */
public sealed interface CallerAnswer {

    /**
     * One generated token.
     *
     * @param eventId the resume token with which the caller can resume after this token
     * @param position the token's position in the answer, from 0
     * @param text the text of the token
     */
    record Token(String eventId, long position, String text) implements CallerAnswer {}

    /**
     * The end of a complete answer.
     *
     * @param count the number of tokens in the whole answer
     * @param cachedTokens the number of prompt tokens served from a cache
     */
    record End(long count, int cachedTokens) implements CallerAnswer {}

    /**
     * The final answer of a service.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the body
     * @param replayed whether this is the recorded answer of an earlier call with the same idempotency key
     */
    record Result(int status, String contentType, byte[] body, boolean replayed) implements CallerAnswer {}

    /**
     * The final answer to a request that is refused or aborted.
     *
     * @param code the result code
     * @param detail one sentence with further detail
     * @param retryAfterMillis the retry time (Retry-After) in milliseconds, or 0 when a retry does not help
     */
    record Refusal(ResultCode code, String detail, long retryAfterMillis) implements CallerAnswer {}
}
