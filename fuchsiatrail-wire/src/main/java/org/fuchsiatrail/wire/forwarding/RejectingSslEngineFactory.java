package org.fuchsiatrail.wire.forwarding;

import javax.net.ssl.SSLEngine;

import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;

/**
 * Rejects TLS connections to upstreams, which are reached over plain HTTP. The default factory of the HTTP client loads
 * all trusted certificates when it is created, which takes a fifth of the router's start time.
 */
final class RejectingSslEngineFactory implements SslEngineFactory {

    @Override
    public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
        throw new UnsupportedOperationException(
                "TLS to upstreams is not supported; upstreams are reached over plain HTTP.");
    }
}
