package org.fuchsiatrail;

/**
 * A caller's request to a service.
 *
 * @param service the name of the service
 * @param method the HTTP method
 * @param path the path below the service, beginning with a slash, with its query
 * @param contentType the media type of the body, or an empty string
 * @param body the body, possibly empty
 * @param idempotencyKey the caller's idempotency key, or an empty string
 * @param deadlineMillis how long the caller waits for the answer, in milliseconds from receipt
 * @param traceparent the W3C trace context to propagate to the upstream, or an empty string
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
