package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests on connections that the event loop, being busy, has not accepted yet when the listener shuts
 * down: closing the listening socket resets them, long after the requests were sent.
 */
class RequestLostUnacceptedAtShutDownTest {

    private static final long BUSY_MILLIS = 300;

    private final EventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 15, 200})
    void should_answer_requests_on_connections_that_wait_to_be_accepted(int count) throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        HttpHandler handler = exchange -> exchange.respond(503, Map.of(), new byte[0]);
        List<RawCaller> callers = new ArrayList<>();
        try (HttpListener listener = HttpListener.listen(
                group, new InetSocketAddress("127.0.0.1", 0), HttpLimits::internal, null, () -> true, handler)) {
            group.next().submit(() -> released.await(5, TimeUnit.SECONDS));
            for (int number = 0; number < count; number++) {
                callers.add(RawCaller.connect(listener.port()).send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"));
            }
            Future<Void> delivered = listener.shutDown();
            TimeUnit.MILLISECONDS.sleep(BUSY_MILLIS);
            released.countDown();
            for (RawCaller caller : callers) {
                assertThat(caller.readResponse()).startsWith("HTTP/1.1 503").contains("connection: close");
                assertThat(caller.readUntilEnd()).isEmpty();
            }
            assertThat(delivered.await(5, TimeUnit.SECONDS)).isTrue();
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
    }
}
