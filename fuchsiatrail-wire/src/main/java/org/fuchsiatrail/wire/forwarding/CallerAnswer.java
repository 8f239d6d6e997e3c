package org.fuchsiatrail.wire.forwarding;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiatrail.wire.http.HttpExchange;

/** The answer to one caller, which several attempts may give pieces of. */
final class CallerAnswer {

    /** Bytes that a caller may leave unread before its stream is broken off. */
    private static final long MOST_UNSENT_BYTES = 256 * 1024;

    private final HttpExchange exchange;
    private boolean begun;
    private String lastEvent = "";

    CallerAnswer(HttpExchange exchange) {
        this.exchange = exchange;
    }

    /** Answers with a plain answer. */
    void whole(int status, HttpHeaders headers, byte[] body) {
        exchange.respond(status, passedOn(headers), body);
    }

    /** Begins a stream; a stream that goes on at another upstream keeps its first head. */
    void beginStream(int status, HttpHeaders headers) {
        if (!begun) {
            begun = true;
            exchange.begin(status, passedOn(headers));
        }
    }

    /** Passes an event on; false when the caller reads too slowly. */
    boolean sendEvent(EventStreamSplitter.Event event) {
        exchange.send(event.bytes());
        if (!event.id().isEmpty()) {
            lastEvent = event.id();
        }
        return exchange.unsentBytes() <= MOST_UNSENT_BYTES;
    }

    void endStream() {
        exchange.end();
    }

    /** Closes the connection, so that a begun stream cannot look complete. */
    void breakOff() {
        exchange.abort();
    }

    /** The id of the last event that was passed on. */
    String lastEvent() {
        return lastEvent;
    }

    private static HttpHeaders passedOn(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        HopHeaders.remove(copy);
        return copy;
    }
}
