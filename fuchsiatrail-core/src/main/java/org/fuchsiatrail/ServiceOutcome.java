package org.fuchsiatrail;

/** What became of one call to a plain service. */
public sealed interface ServiceOutcome {

    /**
     * The service answered.
     *
     * @param request the request that the service echoed
     * @param status the HTTP status
     * @param contentType the media type of the body, or an empty text
     * @param body the body
     */
    record Answered(RequestId request, int status, String contentType, byte[] body) implements ServiceOutcome {}

    /**
     * No byte of the request left this process.
     *
     * @param reason what the connection reported
     */
    record NotSent(String reason) implements ServiceOutcome {}

    /**
     * The request may have run.
     *
     * @param reason what the connection reported
     */
    record Unknown(String reason) implements ServiceOutcome {}
}
