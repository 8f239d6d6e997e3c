package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses of the connection itself (413, 417, 100) that are sent before the response to an earlier
 * request, and are taken for it.
 */
class RefusalOutOfTurnTest {

    private static final String FIRST = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<HttpExchange> handled = new CopyOnWriteArrayList<>();
    private HttpListener listener;

    @BeforeEach
    void listen() {
        listener = HttpListener.listen(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                new HttpLimits(1_000, 2_000, 500, 2_000),
                null,
                exchange -> {
                    handled.add(exchange);
                });
    }

    @AfterEach
    void close() {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static void respond(HttpExchange exchange) {
        exchange.respond(200, Map.of(), exchange.path().getBytes(StandardCharsets.UTF_8));
    }

    private HttpExchange awaitHandled(int count) throws InterruptedException {
        for (int poll = 0; poll < 400 && handled.size() < count; poll++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(handled).hasSize(count);
        return handled.getLast();
    }

    @ParameterizedTest
    @CsvSource({
        "413, 'Content-Length: 4000\r\n\r\n'",
        "413, 'Transfer-Encoding: chunked\r\n\r\n1000\r\n'",
        "413, 'Expect: 100-continue\r\nContent-Length: 4000\r\n\r\n'",
        "417, 'Expect: other\r\nContent-Length: 4\r\n\r\n'",
    })
    void should_refuse_a_request_after_the_response_to_the_one_before_it(int status, String headers) throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            caller.send(FIRST + "POST /second HTTP/1.1\r\nHost: a\r\n" + headers + "x".repeat(2_000));
            awaitHandled(1);
            TimeUnit.MILLISECONDS.sleep(100);
            respond(handled.getFirst());
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("/first");
            assertThat(caller.readUntilEnd()).startsWith("HTTP/1.1 " + status).contains("connection: close");
        }
        assertThat(handled).hasSize(1);
    }

    @Test
    void should_complete_a_stream_before_the_refusal_of_the_request_behind_it() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port()).send(FIRST)) {
            HttpExchange stream = awaitHandled(1);
            stream.beginStream(200, Map.of());
            stream.sendChunk("one".getBytes(StandardCharsets.UTF_8));
            caller.send("POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(100);
            stream.sendChunk("two".getBytes(StandardCharsets.UTF_8));
            stream.endStream();
            assertThat(caller.readUntilEnd())
                    .startsWith("HTTP/1.1 200")
                    .contains("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\nHTTP/1.1 413");
        }
    }

    @Test
    void should_ask_for_a_body_at_once_when_no_response_is_due() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            caller.send("POST /only HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            assertThat(caller.readHead()).startsWith("HTTP/1.1 100");
            caller.send("body");
            respond(awaitHandled(1));
            assertThat(caller.readResponse()).endsWith("/only");
            assertThat(handled.getFirst().body()).hasSize(4);
            assertThat(handled.getFirst().header("Expect")).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_ask_for_a_body_after_the_response_to_the_request_before_it(boolean stream) throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port()).send(FIRST)) {
            HttpExchange first = awaitHandled(1);
            if (stream) {
                first.beginStream(200, Map.of());
                assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
            }
            caller.send("POST /second HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(100);
            if (stream) {
                first.endStream();
                assertThat(caller.readHead()).isEqualTo("0\r\n\r\n");
            } else {
                respond(first);
                assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("/first");
            }
            assertThat(caller.readHead()).startsWith("HTTP/1.1 100");
            caller.send("body");
            respond(awaitHandled(2));
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("/second");
        }
    }

    /** A body that was sent unasked needs no interim response. */
    @Test
    void should_answer_in_order_when_a_body_is_sent_unasked_behind_another_request() throws Exception {
        String second = "POST /second HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody";
        try (RawCaller caller = RawCaller.connect(listener.port()).send(FIRST + second)) {
            respond(awaitHandled(1));
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("/first");
            respond(awaitHandled(2));
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("/second");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 4000000", "Transfer-Encoding: chunked"})
    void should_deliver_the_refusal_of_a_body_that_is_still_being_sent(String header) throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            caller.send("POST /1 HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n");
            for (int chunk = 0; chunk < 40; chunk++) {
                caller.send("1000\r\n" + "x".repeat(4_096) + "\r\n");
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertThat(caller.readUntilEnd()).startsWith("HTTP/1.1 413").contains("connection: close");
        }
        assertThat(handled).isEmpty();
    }
}
