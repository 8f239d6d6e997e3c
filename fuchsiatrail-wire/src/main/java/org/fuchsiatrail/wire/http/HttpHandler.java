package org.fuchsiatrail.wire.http;

import org.fuchsiatrail.wire.observe.LogLines;

/** Handles HTTP requests. It is called on an event loop thread and must not block. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles a request; the response may be sent later.
     *
     * @param exchange the request and its response
     */
    void handle(HttpExchange exchange);

    /**
     * Reports that an exception ended the handling of a request or the writing of its response. The connection has
     * answered the request by then, or is closed.
     *
     * @param message a short sentence that names the failure
     * @param cause the exception
     */
    default void connectionFailed(String message, Throwable cause) {
        LogLines.error("callers", message, cause);
    }
}
