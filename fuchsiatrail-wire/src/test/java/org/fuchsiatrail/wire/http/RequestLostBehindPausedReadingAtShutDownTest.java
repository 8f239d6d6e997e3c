package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that have arrived long before the listener shuts down, and are not read since reading pauses
 * behind several unanswered requests.
 */
class RequestLostBehindPausedReadingAtShutDownTest {

    /** More than fit into two buffers. */
    private static final int REQUESTS = 4_000;

    private static final long ANSWER_MILLIS = 1_000;

    private final EventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static String request(int number) {
        return "GET /" + number + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    @Test
    void should_answer_all_requests_that_have_arrived_behind_one_that_takes_time() throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        AtomicReference<HttpExchange> first = new AtomicReference<>();
        HttpHandler handler = exchange -> {
            if (exchange.path().equals("/0")) {
                first.set(exchange);
                handled.countDown();
            } else {
                exchange.respond(503, Map.of(), exchange.path().getBytes(StandardCharsets.UTF_8));
            }
        };
        try (HttpListener listener = HttpListener.listen(
                        group, new InetSocketAddress("127.0.0.1", 0), HttpLimits::internal, null, () -> true, handler);
                RawCaller caller = RawCaller.connect(listener.port())) {
            caller.send(IntStream.range(0, REQUESTS)
                    .mapToObj(RequestLostBehindPausedReadingAtShutDownTest::request)
                    .collect(Collectors.joining()));
            assertThat(handled.await(5, TimeUnit.SECONDS)).isTrue();
            TimeUnit.MILLISECONDS.sleep(300);
            Future<Void> delivered = listener.shutDown();
            TimeUnit.MILLISECONDS.sleep(ANSWER_MILLIS);
            first.get().respond(200, Map.of(), new byte[0]);
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200");
            for (int number = 1; number < REQUESTS; number++) {
                assertThat(caller.readResponse()).startsWith("HTTP/1.1 503").endsWith("/" + number);
            }
            assertThat(caller.readUntilEnd()).isEmpty();
            assertThat(delivered.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }
}
