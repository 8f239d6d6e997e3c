package org.fuchsiatrail.wire.forwarding;

import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.wire.http.HttpExchange;

/** The response to one caller. A stream may be continued by a further attempt at another upstream. */
final class CallerResponse {

    /** The most bytes buffered for a caller that reads slowly; above this, its upstream is not read. */
    private static final long MAXIMUM_UNSENT_BYTES = 256 * 1024;

    private final HttpExchange exchange;
    private boolean streamBegun;
    private String lastEventId = "";
    private Optional<UpstreamId> namedUpstream = Optional.empty();

    CallerResponse(HttpExchange exchange) {
        this.exchange = exchange;
    }

    /** Names the upstream of the response to the router that relayed the request. */
    void nameUpstream(UpstreamId upstream) {
        namedUpstream = Optional.of(upstream);
    }

    /** Sends a complete response that is not a stream. */
    void sendPlain(int status, HttpHeaders headers, byte[] body) {
        exchange.respond(status, endToEndHeaders(headers), body);
    }

    /**
     * Begins a stream. Has no effect if an earlier attempt at another upstream has already begun it: status and headers
     * are sent only once.
     */
    void beginStream(int status, HttpHeaders headers) {
        if (!streamBegun) {
            exchange.beginStream(status, endToEndHeaders(headers));
            streamBegun = true;
        }
    }

    /** Sends events; returns false if the caller reads too slowly. */
    boolean sendEvents(EventStreamSplitter.Events events) {
        exchange.sendChunk(events.bytes());
        if (!events.id().isEmpty()) {
            lastEventId = events.id();
        }
        return exchange.unsentBytes() <= MAXIMUM_UNSENT_BYTES;
    }

    /** Returns whether the caller has read enough for its upstream to be read on. */
    boolean hasCaughtUp() {
        return exchange.unsentBytes() <= MAXIMUM_UNSENT_BYTES / 4;
    }

    /** Ends the stream after bytes that are part of no event. */
    void endStream(byte[] lastBytes) {
        if (lastBytes.length > 0) {
            exchange.sendChunk(lastBytes);
        }
        exchange.endStream();
    }

    /** Closes the connection, so that the caller does not take an incomplete stream for a complete one. */
    void abortStream() {
        exchange.abort();
    }

    /** Returns the id of the last event with an id that was sent, or an empty string. */
    String lastEventId() {
        return lastEventId;
    }

    private HttpHeaders endToEndHeaders(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        HopByHopHeaders.remove(copy);
        copy.remove(RelayHeaders.UPSTREAM);
        namedUpstream.ifPresent(upstream -> copy.set(RelayHeaders.UPSTREAM, upstream.value()));
        return copy;
    }
}
