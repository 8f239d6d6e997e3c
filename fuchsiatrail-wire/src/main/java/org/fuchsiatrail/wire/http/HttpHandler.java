package org.fuchsiatrail.wire.http;

/** Handles HTTP requests. It is called on an event loop thread and must not block. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles a request; the response may be sent later.
     *
     * @param exchange the request and its response
     */
    void handle(HttpExchange exchange);
}
