package org.fuchsiatrail.wire.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests of which a part was read when the listener shuts down, and that get no answer. */
class RequestLostPartlyReadAtShutDownTest {

    private static final String CLOSE = "connection: close";
    private static final String CHUNKED = "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** More than a connection is read at once. */
    private static final int LARGE_BODY_BYTES = 3_000_000;

    private static final long BUSY_MILLIS = 300;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicReference<HttpExchange> open = new AtomicReference<>();
    private final CountDownLatch handled = new CountDownLatch(1);
    private HttpListener listener;

    @BeforeEach
    void listen() {
        listener = HttpListener.listen(
                group, new InetSocketAddress("127.0.0.1", 0), HttpLimits::internal, null, () -> true, exchange -> {
                    if (exchange.path().equals("/1")) {
                        open.set(exchange);
                        handled.countDown();
                    } else {
                        exchange.respond(503, Map.of(), exchange.path().getBytes(StandardCharsets.UTF_8));
                    }
                });
    }

    @AfterEach
    void close() {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static void assertRefusedAndClosed(RawCaller caller, Future<Void> delivered) throws Exception {
        assertThat(caller.readResponse())
                .startsWith("HTTP/1.1 503")
                .contains(CLOSE)
                .endsWith("/2");
        assertThat(caller.readUntilEnd()).isEmpty();
        assertThat(delivered.await(5, TimeUnit.SECONDS)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 30, 57, 60, 63, 66, 70})
    void should_answer_a_request_that_is_complete_soon_after_the_shut_down(int bytes) throws Exception {
        String request = CHUNKED + "4\r\nbody\r\n0\r\n\r\n";
        try (RawCaller caller = RawCaller.connect(listener.port()).send(request.substring(0, bytes))) {
            TimeUnit.MILLISECONDS.sleep(50);
            Future<Void> delivered = listener.shutDown();
            TimeUnit.MILLISECONDS.sleep(100);
            caller.send(request.substring(bytes));
            assertRefusedAndClosed(caller, delivered);
        }
    }

    @Test
    void should_answer_a_request_that_is_complete_soon_after_the_shut_down_behind_another() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + CHUNKED + "4\r\nbo");
            assertThat(handled.await(5, TimeUnit.SECONDS)).isTrue();
            TimeUnit.MILLISECONDS.sleep(50);
            Future<Void> delivered = listener.shutDown();
            TimeUnit.MILLISECONDS.sleep(100);
            caller.send("dy\r\n0\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(50);
            open.get().respond(200, Map.of(), new byte[0]);
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").doesNotContain(CLOSE);
            assertRefusedAndClosed(caller, delivered);
        }
    }

    /** All bytes were sent long before the listener could read some of them. */
    @Test
    void should_answer_a_large_request_that_was_sent_while_the_event_loop_was_busy() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            TimeUnit.MILLISECONDS.sleep(50);
            group.next().submit(() -> released.await(5, TimeUnit.SECONDS));
            CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> {
                try {
                    caller.send("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n"
                            + "b".repeat(LARGE_BODY_BYTES));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            Future<Void> delivered = listener.shutDown();
            TimeUnit.MILLISECONDS.sleep(BUSY_MILLIS);
            released.countDown();
            assertRefusedAndClosed(caller, delivered);
            sent.get(5, TimeUnit.SECONDS);
        }
    }

    @Test
    void should_end_a_connection_whose_request_does_not_become_complete() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port()).send(CHUNKED + "4\r\nbo")) {
            TimeUnit.MILLISECONDS.sleep(50);
            Future<Void> delivered = listener.shutDown();
            assertThat(caller.readUntilEnd()).isEmpty();
            assertThat(delivered.await(1, TimeUnit.SECONDS)).isTrue();
        }
    }
}
