package org.fuchsiatrail.wire.forwarding;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Headers that concern one connection only and are never passed on. */
final class HopHeaders {

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

    private HopHeaders() {}

    /** Removes them, with those that the connection header names. */
    static void remove(HttpHeaders headers) {
        for (String named : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
            for (String name : named.split(",")) {
                if (!name.isBlank()) {
                    headers.remove(name.strip());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
