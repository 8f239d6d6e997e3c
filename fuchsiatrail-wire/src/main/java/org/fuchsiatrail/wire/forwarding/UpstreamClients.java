package org.fuchsiatrail.wire.forwarding;

import java.time.Duration;

import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.channel.ChannelPool;
import org.asynchttpclient.netty.channel.DefaultChannelPool;
import org.fuchsiatrail.wire.http.KeepAliveProbes;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/** Creates the HTTP client of a forwarding router. */
public final class UpstreamClients {

    /**
     * The timeout for a new connection. Round trips take up to 10 ms. A lost packet is retransmitted only after a
     * second, so a slightly longer timeout would not help.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** How long an idle connection is kept. Upstreams close theirs a little later, so the router closes first. */
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofMillis(2_500);

    private static final Duration IDLE_CONNECTION_CHECK_INTERVAL = Duration.ofMillis(100);

    private static final Duration UNLIMITED_CONNECTION_LIFETIME = Duration.ofMillis(-1);

    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);

    private UpstreamClients() {}

    /**
     * Creates a client on one event loop that neither retries requests nor follows redirects nor decompresses bodies,
     * and keeps no cookies.
     *
     * @param group the group that contains only the event loop
     * @param loop the event loop
     * @param dialect tells which request a response answers
     * @param metrics counts responses that answer no request
     * @param receiveBufferBytes what the system may queue of each response that is not read, in bytes, or 0 to leave it
     *     to the system
     * @return a client, to be closed by the caller
     */
    public static AsyncHttpClient create(
            EventLoopGroup group, EventLoop loop, CallDialect dialect, RouterMetrics metrics, int receiveBufferBytes) {
        EventLoopTimer timer = new EventLoopTimer(loop);
        ChannelPool idleConnections = new DefaultChannelPool(
                IDLE_CONNECTION_TIMEOUT, UNLIMITED_CONNECTION_LIFETIME, timer, IDLE_CONNECTION_CHECK_INTERVAL);
        ReadRateLimiter.LimitedConnections limitedConnections = new ReadRateLimiter.LimitedConnections();
        DefaultAsyncHttpClientConfig.Builder config = Dsl.config()
                .setEventLoopGroup(group)
                .setNettyTimer(timer)
                .setHttpAdditionalChannelInitializer(connection -> {
                    JoinedHeadFilter.install(connection, metrics);
                    InterimResponseFilter.install(connection);
                    UpstreamAnswerFilter.install(connection, dialect, metrics);
                    BodyPartMerger.install(connection);
                    ReadRateLimiter.install(connection, limitedConnections);
                })
                .setChannelPool(new UpstreamConnectionPool(idleConnections))
                .setSslEngineFactory(new RejectingSslEngineFactory())
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setCookieStore(null)
                .setEnableAutomaticDecompression(false)
                .setDisableUrlEncodingForBoundRequests(true)
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                .setRequestTimeout(NO_TIMEOUT)
                .setTcpNoDelay(true)
                .setUserAgent(null)
                .addChannelOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .addChannelOption(ChannelOption.SO_KEEPALIVE, true)
                .addChannelOption(KeepAliveProbes.IDLE_OPTION, KeepAliveProbes.IDLE_SECONDS)
                .addChannelOption(KeepAliveProbes.INTERVAL_OPTION, KeepAliveProbes.INTERVAL_SECONDS)
                .addChannelOption(KeepAliveProbes.PROBE_COUNT_OPTION, KeepAliveProbes.PROBE_COUNT);
        if (receiveBufferBytes > 0) {
            config.addChannelOption(ChannelOption.SO_RCVBUF, receiveBufferBytes);
        }
        return Dsl.asyncHttpClient(config.build());
    }
}
