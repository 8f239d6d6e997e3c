package org.fuchsiatrail.wire.client;

import java.time.Duration;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;

/** Makes the HTTP client that everything in a process shares. */
public final class HttpClients {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_CONNECTION = Duration.ofSeconds(20);
    private static final Duration LONGEST_REQUEST = Duration.ofMinutes(10);

    private HttpClients() {}

    /**
     * Makes a client that never repeats a request by itself and follows no redirects.
     *
     * @param ioThreads the number of its network threads
     * @return a client, to be closed at the end
     */
    public static AsyncHttpClient create(int ioThreads) {
        return Dsl.asyncHttpClient(Dsl.config()
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setPooledConnectionIdleTimeout(IDLE_CONNECTION)
                .setReadTimeout(LONGEST_REQUEST)
                .setRequestTimeout(LONGEST_REQUEST)
                .setIoThreadsCount(ioThreads)
                .setTcpNoDelay(true)
                .setUserAgent("fuchsiatrail")
                .build());
    }
}
