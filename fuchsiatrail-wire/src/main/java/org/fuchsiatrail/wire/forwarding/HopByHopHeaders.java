package org.fuchsiatrail.wire.forwarding;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Hop-by-hop headers, which apply to a single connection and must not be forwarded. */
final class HopByHopHeaders {

    private static final List<CharSequence> NAMES = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            "Proxy-Connection",
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    private HopByHopHeaders() {}

    /** Removes all hop-by-hop headers, including those listed in the Connection header. */
    static void remove(HttpHeaders headers) {
        for (String connectionOptions : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
            for (String name : connectionOptions.split(",")) {
                if (!name.isBlank()) {
                    headers.remove(name.strip());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
