package org.fuchsiatrail;

/**
 * A caller's request to a plain service.
 *
 * @param service the name of the service
 * @param method the HTTP method
 * @param path the path below the service, beginning with a slash, with its query
 * @param contentType the media type of the body, or an empty text
 * @param body the body, possibly empty
 * @param idempotencyKey the caller's idempotency key, or an empty text
 * @param deadlineMillis the time the caller still waits, in milliseconds from arrival
 * @param traceparent the W3C trace context to hand to the upstream, or an empty text
 */
public record ServiceCall(
        String service,
        String method,
        String path,
        String contentType,
        byte[] body,
        String idempotencyKey,
        long deadlineMillis,
        String traceparent) {}
