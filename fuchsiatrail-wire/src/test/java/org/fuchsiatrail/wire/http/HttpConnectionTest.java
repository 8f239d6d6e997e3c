package org.fuchsiatrail.wire.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses in the wrong order, callers that disconnect unnoticed, connections that stay open without
 * traffic, and request smuggling. Sends raw bytes over sockets, because an HTTP client would not send malformed
 * requests.
 */
class HttpConnectionTest {

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<HttpExchange> handled = new CopyOnWriteArrayList<>();
    private final CountDownLatch disconnected = new CountDownLatch(1);
    private HttpListener listener;

    @BeforeEach
    void listen() {
        listener = HttpListener.listen(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                new HttpLimits(1_000, 2_000, 200, 400),
                null,
                exchange -> {
                    handled.add(exchange);
                    exchange.onDisconnect(disconnected::countDown);
                    if (!exchange.path().equals("/later")) {
                        exchange.respond(200, Map.of(), exchange.path().getBytes(StandardCharsets.UTF_8));
                    }
                });
    }

    @AfterEach
    void close() {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.setSoTimeout(5_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private void awaitHandled(int count) throws InterruptedException {
        long remainingPolls = 200;
        while (handled.size() < count && remainingPolls-- > 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(handled).hasSizeGreaterThanOrEqualTo(count);
    }

    @Test
    void should_answer_pipelined_requests_in_order() throws Exception {
        try (Socket socket = send("GET /later HTTP/1.1\r\nHost: a\r\n\r\n"
                + "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
            awaitHandled(1);
            TimeUnit.MILLISECONDS.sleep(50);
            assertThat(handled).hasSize(1);
            handled.getFirst().respond(200, Map.of(), "/first".getBytes(StandardCharsets.UTF_8));
            String answers = readAll(socket);
            assertThat(answers.indexOf("/first")).isPositive().isLessThan(answers.indexOf("/second"));
        }
    }

    @Test
    void should_report_a_disconnect_to_the_first_of_two_pipelined_requests() throws Exception {
        Socket socket = send("GET /later HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
        awaitHandled(1);
        socket.close();
        assertThat(disconnected.await(2, TimeUnit.SECONDS)).isTrue();
        assertThat(handled).hasSize(1);
    }

    @Test
    void should_time_out_a_request_with_an_incomplete_head() throws Exception {
        try (Socket socket = send("GET /slow HTTP/1.1\r\nHost:")) {
            assertThat(readAll(socket)).startsWith("HTTP/1.1 408");
        }
        assertThat(handled).isEmpty();
    }

    @Test
    void should_time_out_a_request_with_an_incomplete_body() throws Exception {
        try (Socket socket = send("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")) {
            assertThat(readAll(socket)).startsWith("HTTP/1.1 408");
        }
        assertThat(handled).isEmpty();
    }

    @Test
    void should_close_an_idle_connection() throws Exception {
        try (Socket socket = send("GET /once HTTP/1.1\r\nHost: a\r\n\r\n")) {
            InputStream answer = socket.getInputStream();
            assertThat(answer.read()).isPositive();
            answer.readAllBytes();
        }
        assertThat(handled).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nTransfer-Encoding: chunked",
                "Content-Length: 5\r\nContent-Length: 6",
                "Transfer-Encoding: chunked, identity",
                "Transfer-Encoding: xchunked",
                "Content-Length: five",
                "no colon"
            })
    void should_refuse_a_request_of_ambiguous_length_and_ignore_all_bytes_after_it(String header) throws Exception {
        try (Socket socket = send("POST /first HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n0\r\n\r\n"
                + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")) {
            assertThat(readAll(socket)).startsWith("HTTP/1.1 400").doesNotContain("smuggled");
        }
        assertThat(handled).isEmpty();
    }

    @Test
    void should_refuse_heads_and_bodies_that_exceed_the_limits() throws Exception {
        try (Socket socket = send("GET /big HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(3_000) + "\r\n\r\n")) {
            assertThat(readAll(socket)).startsWith("HTTP/1.1 431");
        }
        try (Socket socket = send("POST /big HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n")) {
            assertThat(readAll(socket)).startsWith("HTTP/1.1 413");
        }
        assertThat(handled).isEmpty();
    }

    @Test
    void should_answer_the_request_before_a_malformed_one() throws Exception {
        try (Socket socket = send("GET /first HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n")) {
            assertThat(readAll(socket)).contains("/first").contains("HTTP/1.1 400");
        }
    }

    /** A body after the answer to a HEAD request would be taken for the beginning of the next answer. */
    @Test
    void should_send_no_body_in_answer_to_a_head_request() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port())
                .send("HEAD /first HTTP/1.1\r\nHost: a\r\n\r\n"
                        + "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
            assertThat(caller.readHead()).contains("content-length: 6");
            assertThat(caller.readHead()).contains("content-length: 5");
            assertThat(caller.readUntilEnd()).isEqualTo("/last");
        }
    }
}
