package org.fuchsiatrail;

/** The outcome of one call to a service. */
public sealed interface ServiceOutcome {

    /**
     * The service answered.
     *
     * @param request the request id that the service echoed
     * @param status the HTTP status
     * @param contentType the media type of the body, or an empty string
     * @param body the body
     */
    record Answered(RequestId request, int status, String contentType, byte[] body) implements ServiceOutcome {}

    /**
     * No byte of the request was sent.
     *
     * @param reason the error that the connection reported
     */
    record NotSent(String reason) implements ServiceOutcome {}

    /**
     * The request may have run, and its outcome is unknown.
     *
     * @param reason the error that the connection reported
     */
    record Unknown(String reason) implements ServiceOutcome {}
}
