package org.fuchsiatrail.wire.client;

import java.time.Duration;

import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;

/** Creates the HTTP client that all components of a process share. */
public final class HttpClients {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMinutes(10);

    private HttpClients() {}

    /**
     * Creates a client that neither retries requests nor follows redirects, and keeps no cookies.
     *
     * @param ioThreads the number of its I/O threads
     * @return a client, to be closed by the caller
     */
    public static AsyncHttpClient create(int ioThreads) {
        return Dsl.asyncHttpClient(config().setIoThreadsCount(ioThreads).build());
    }

    /**
     * Creates a client like the other one, on event loops of its caller.
     *
     * @param loops the event loops, which are shut down after the client is closed
     * @return a client, to be closed by the caller
     */
    public static AsyncHttpClient create(EventLoopGroup loops) {
        return Dsl.asyncHttpClient(config().setEventLoopGroup(loops).build());
    }

    private static DefaultAsyncHttpClientConfig.Builder config() {
        return Dsl.config()
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setCookieStore(null)
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setPooledConnectionIdleTimeout(IDLE_CONNECTION_TIMEOUT)
                .setReadTimeout(REQUEST_TIMEOUT)
                .setRequestTimeout(REQUEST_TIMEOUT)
                .setTcpNoDelay(true)
                .setUserAgent("fuchsiatrail");
    }
}
