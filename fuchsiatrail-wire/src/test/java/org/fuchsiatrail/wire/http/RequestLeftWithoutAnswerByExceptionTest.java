package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against requests that get neither an answer nor an end of their connection after an exception. */
class RequestLeftWithoutAnswerByExceptionTest {

    private static final String REQUEST = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String LAST_REQUEST = "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private HttpListener listener;

    private void listen(HttpHandler handler) {
        listener =
                HttpListener.listen(group, new InetSocketAddress("127.0.0.1", 0), HttpLimits.internal(), null, handler);
    }

    @AfterEach
    void close() {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static void respondWithPath(HttpExchange exchange) {
        exchange.respond(200, Map.of(), exchange.path().getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_answer_a_request_whose_handler_throws_and_the_one_behind_it(boolean error) throws Exception {
        listen(exchange -> {
            if (exchange.path().equals("/first")) {
                if (error) {
                    throw new StackOverflowError("thrown by the test");
                }
                throw new IllegalStateException("thrown by the test");
            }
            respondWithPath(exchange);
        });
        try (RawCaller caller = RawCaller.connect(listener.port()).send(REQUEST + LAST_REQUEST)) {
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 500");
            assertThat(caller.readUntilEnd()).startsWith("HTTP/1.1 200").endsWith("/last");
        }
    }

    /** Nothing is sent after the handler has answered itself, since it would be taken for the next answer. */
    @Test
    void should_not_answer_twice_when_a_handler_throws_after_its_answer() throws Exception {
        listen(exchange -> {
            respondWithPath(exchange);
            throw new IllegalStateException("thrown by the test");
        });
        try (RawCaller caller = RawCaller.connect(listener.port()).send(REQUEST + LAST_REQUEST)) {
            assertThat(caller.readResponse()).endsWith("/first");
            assertThat(caller.readUntilEnd()).startsWith("HTTP/1.1 200").endsWith("/last");
        }
    }

    @Test
    void should_close_the_connection_when_a_handler_throws_after_its_stream_has_begun() throws Exception {
        listen(exchange -> {
            exchange.beginStream(200, Map.of());
            exchange.sendChunk("piece".getBytes(StandardCharsets.UTF_8));
            throw new IllegalStateException("thrown by the test");
        });
        try (RawCaller caller = RawCaller.connect(listener.port()).send(REQUEST)) {
            assertThat(caller.readUntilEnd()).contains("piece").doesNotContain("0\r\n\r\n");
        }
    }

    /** The caller sees that the stream is incomplete; a second head in its body could not be told from a chunk. */
    @Test
    void should_close_the_connection_when_an_answer_follows_the_beginning_of_a_stream() throws Exception {
        listen(exchange -> {
            exchange.beginStream(200, Map.of());
            exchange.sendChunk("piece".getBytes(StandardCharsets.UTF_8));
            exchange.respond(503, Map.of(), "refused".getBytes(StandardCharsets.UTF_8));
        });
        try (RawCaller caller = RawCaller.connect(listener.port()).send(REQUEST)) {
            assertThat(caller.readUntilEnd())
                    .startsWith("HTTP/1.1 200")
                    .contains("piece")
                    .doesNotContain("0\r\n\r\n")
                    .doesNotContain("503")
                    .doesNotContain("refused");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "1000, X-Own, value",
        "101, X-Own, value",
        "99, X-Own, value",
        "-1, X-Own, value",
        "200, X-Own, 'a\r\nX-Forged: b'",
        "200, X-Own, 'a\0b'",
        "200, X Own, value",
        "200, 'X-Own:', value",
    })
    void should_reject_an_answer_that_cannot_be_written_and_still_send_another(int status, String name, String value)
            throws Exception {
        HttpHeaders headers = new DefaultHttpHeaders(false).add(name, value);
        AtomicReference<HttpExchange> received = new AtomicReference<>();
        CountDownLatch handled = new CountDownLatch(1);
        listen(exchange -> {
            received.set(exchange);
            handled.countDown();
        });
        try (RawCaller caller = RawCaller.connect(listener.port()).send(LAST_REQUEST)) {
            assertThat(handled.await(5, TimeUnit.SECONDS)).isTrue();
            HttpExchange exchange = received.get();
            assertThatThrownBy(() -> exchange.respond(status, headers, new byte[3]))
                    .isInstanceOf(IllegalArgumentException.class);
            assertThatThrownBy(() -> exchange.beginStream(status, headers))
                    .isInstanceOf(IllegalArgumentException.class);
            exchange.respond(502, Map.of(), new byte[0]);
            assertThat(caller.readUntilEnd()).startsWith("HTTP/1.1 502").doesNotContain("X-");
        }
    }

    /** Other requests on the event loop would go on, but the next one on this connection would wait without end. */
    @Test
    void should_notice_further_disconnects_after_an_action_for_one_has_thrown() throws Exception {
        CountDownLatch secondDisconnect = new CountDownLatch(1);
        listen(exchange -> exchange.onDisconnect(() -> {
            if (exchange.path().equals("/first")) {
                throw new IllegalStateException("thrown by the test");
            }
            secondDisconnect.countDown();
        }));
        RawCaller.connect(listener.port()).send(REQUEST).close();
        RawCaller.connect(listener.port()).send(LAST_REQUEST).close();
        assertThat(secondDisconnect.await(5, TimeUnit.SECONDS)).isTrue();
    }

    /** The response to the first request is due when reading the second one fails. */
    @Test
    void should_answer_requests_in_order_when_reading_one_of_them_throws() throws Exception {
        AtomicBoolean failing = new AtomicBoolean();
        AtomicReference<HttpExchange> first = new AtomicReference<>();
        CountDownLatch handled = new CountDownLatch(1);
        listener = HttpListener.listen(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                () -> {
                    if (failing.get()) {
                        throw new IllegalStateException("thrown by the test");
                    }
                    return HttpLimits.internal();
                },
                null,
                () -> false,
                exchange -> {
                    first.set(exchange);
                    handled.countDown();
                });
        try (RawCaller caller = RawCaller.connect(listener.port()).send(REQUEST)) {
            assertThat(handled.await(5, TimeUnit.SECONDS)).isTrue();
            failing.set(true);
            caller.send(LAST_REQUEST);
            TimeUnit.MILLISECONDS.sleep(100);
            respondWithPath(first.get());
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("/first");
            assertThat(caller.readUntilEnd()).startsWith("HTTP/1.1 500").contains("connection: close");
        }
    }

    @Test
    void should_answer_thousands_of_requests_that_were_received_behind_a_slow_one() throws Exception {
        int pipelinedRequests = 3_000;
        AtomicReference<HttpExchange> slow = new AtomicReference<>();
        listen(exchange -> {
            if (slow.compareAndSet(null, exchange)) {
                group.schedule(() -> respondWithPath(exchange), 300, TimeUnit.MILLISECONDS);
            } else {
                exchange.respond(400, Map.of(), new byte[0]);
            }
        });
        try (RawCaller caller = RawCaller.connect(listener.port())
                .send(REQUEST + "GET / HTTP/1.1\r\n\r\n".repeat(pipelinedRequests) + LAST_REQUEST)) {
            assertThat(caller.readUntilEnd().split("HTTP/1.1 400", -1)).hasSize(pipelinedRequests + 2);
        }
    }
}
