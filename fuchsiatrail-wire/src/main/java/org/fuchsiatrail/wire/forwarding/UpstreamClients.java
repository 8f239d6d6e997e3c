package org.fuchsiatrail.wire.forwarding;

import java.time.Duration;

import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.fuchsiatrail.wire.http.KeepAliveProbes;

/** Makes the HTTP client of a forwarding router. */
public final class UpstreamClients {

    /** Time for a new connection; round trips take up to 10 ms, a lost packet costs a second either way. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** How long an unused connection is kept; upstreams close theirs a little later. */
    private static final Duration IDLE_CONNECTION = Duration.ofMillis(2_500);

    private static final Duration NONE = Duration.ofMillis(-1);

    private UpstreamClients() {}

    /**
     * Makes a client on one event loop that repeats nothing by itself, follows no redirects and changes no body.
     *
     * @param group the group of the one event loop
     * @param loop that event loop
     * @return a client, to be closed at the end
     */
    public static AsyncHttpClient create(EventLoopGroup group, EventLoop loop) {
        return Dsl.asyncHttpClient(Dsl.config()
                .setEventLoopGroup(group)
                .setNettyTimer(new EventLoopTimer(loop))
                .setSslEngineFactory(new PlainHttpOnly())
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setEnableAutomaticDecompression(false)
                .setDisableUrlEncodingForBoundRequests(true)
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setPooledConnectionIdleTimeout(IDLE_CONNECTION)
                .setReadTimeout(NONE)
                .setRequestTimeout(NONE)
                .setTcpNoDelay(true)
                .setUserAgent(null)
                .addChannelOption(ChannelOption.SO_KEEPALIVE, true)
                .addChannelOption(KeepAliveProbes.IDLE, KeepAliveProbes.IDLE_SECONDS)
                .addChannelOption(KeepAliveProbes.INTERVAL, KeepAliveProbes.INTERVAL_SECONDS)
                .addChannelOption(KeepAliveProbes.PROBES, KeepAliveProbes.COUNT)
                .build());
    }
}
