package org.fuchsiatrail.wire.forwarding;

import javax.net.ssl.SSLEngine;

import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;

/**
 * Refuses encrypted connections to upstreams, which speak plain HTTP. The client's own factory reads all trusted
 * certificates at its creation, which takes a fifth of a start.
 */
final class PlainHttpOnly implements SslEngineFactory {

    @Override
    public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
        throw new UnsupportedOperationException("Upstreams are reached by plain HTTP only.");
    }
}
