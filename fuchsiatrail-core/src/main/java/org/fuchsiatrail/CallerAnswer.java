package org.fuchsiatrail;

/** What a caller gets; a chat answer is any number of tokens and one end or refusal. */
public sealed interface CallerAnswer {

    /**
     * One token.
     *
     * @param eventId the resume token after this one
     * @param position its place in the answer, from 0
     * @param text its text
     */
    record Token(String eventId, long position, String text) implements CallerAnswer {}

    /**
     * The answer is whole.
     *
     * @param count the tokens of the whole answer
     * @param cachedTokens prompt tokens that came from a cache
     */
    record End(long count, int cachedTokens) implements CallerAnswer {}

    /**
     * The final answer of a plain service.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the body
     * @param replayed whether it is the recorded answer of an earlier call with the same key
     */
    record Result(int status, String contentType, byte[] body, boolean replayed) implements CallerAnswer {}

    /**
     * The final answer of a request that is given up.
     *
     * @param code why
     * @param detail one sentence more
     * @param retryAfterMillis when to come back, in milliseconds; 0 when coming back does not help
     */
    record Refusal(ResultCode code, String detail, long retryAfterMillis) implements CallerAnswer {}
}
