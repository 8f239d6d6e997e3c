package org.fuchsiatrail.wire.http;

/** Answers HTTP requests; called on a network thread, so it must not wait. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Takes a request.
     *
     * @param exchange the request
     */
    void handle(HttpExchange exchange);
}
