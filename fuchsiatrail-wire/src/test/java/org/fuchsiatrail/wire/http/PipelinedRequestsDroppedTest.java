package org.fuchsiatrail.wire.http;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against requests that were read whole behind a response that closes their connection, and get no answer. */
class PipelinedRequestsDroppedTest {

    private static final int LARGE_BODY_BYTES = 24 * 1024 * 1024;
    private static final String CLOSE = "connection: close";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<HttpExchange> handled = new CopyOnWriteArrayList<>();
    private volatile boolean stopping;
    private volatile boolean answersAtOnce;
    private HttpListener listener;

    @BeforeEach
    void listen() {
        listener = HttpListener.listen(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                () -> new HttpLimits(1_000, 2_000, 500, 2_000),
                null,
                () -> stopping,
                exchange -> {
                    handled.add(exchange);
                    if (answersAtOnce) {
                        respond(exchange);
                    }
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

    private static String request(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    private HttpExchange awaitHandled(int count) throws InterruptedException {
        for (int poll = 0; poll < 400 && handled.size() < count; poll++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(handled).hasSize(count);
        return handled.getLast();
    }

    @Test
    void should_answer_all_requests_received_before_the_last_response_of_a_stop() throws Exception {
        try (RawCaller caller =
                RawCaller.connect(listener.port()).send(request("/1") + request("/2") + request("/3"))) {
            awaitHandled(1);
            stopping = true;
            for (int number = 1; number <= 3; number++) {
                respond(awaitHandled(number));
            }
            assertThat(caller.readResponse()).endsWith("/1").doesNotContain(CLOSE);
            assertThat(caller.readResponse()).endsWith("/2").doesNotContain(CLOSE);
            assertThat(caller.readResponse()).endsWith("/3").contains(CLOSE);
            assertThat(caller.readUntilEnd()).isEmpty();
        }
    }

    @Test
    void should_answer_all_requests_received_in_one_piece_while_the_router_refuses_at_once() throws Exception {
        stopping = true;
        answersAtOnce = true;
        try (RawCaller caller =
                RawCaller.connect(listener.port()).send(request("/1") + request("/2") + request("/3"))) {
            assertThat(caller.readResponses(2)).noneMatch(response -> response.contains(CLOSE));
            assertThat(caller.readResponse()).endsWith("/3").contains(CLOSE);
            assertThat(caller.readUntilEnd()).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET",
                "GET /2 HTTP/1.1\r\nHost: a\r\n",
                "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n",
                "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo",
            })
    void should_answer_a_request_of_which_a_part_was_received_before_the_last_response(String part) throws Exception {
        String whole = part.startsWith("POST")
                ? "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
                : request("/2");
        stopping = true;
        try (RawCaller caller = RawCaller.connect(listener.port()).send(request("/1") + part)) {
            awaitHandled(1);
            TimeUnit.MILLISECONDS.sleep(50);
            respond(handled.getFirst());
            assertThat(caller.readResponse()).endsWith("/1").doesNotContain(CLOSE);
            caller.send(whole.substring(part.length()));
            respond(awaitHandled(2));
            assertThat(caller.readResponse()).endsWith("/2").contains(CLOSE);
            assertThat(caller.readUntilEnd()).isEmpty();
        }
    }

    @Test
    void should_answer_a_request_received_while_a_stream_runs_into_a_stop() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port()).send(request("/stream"))) {
            HttpExchange stream = awaitHandled(1);
            stream.beginStream(200, Map.of());
            stream.sendChunk("piece".getBytes(StandardCharsets.UTF_8));
            assertThat(caller.readHead()).doesNotContain(CLOSE);
            caller.send(request("/2"));
            TimeUnit.MILLISECONDS.sleep(50);
            stopping = true;
            stream.endStream();
            respond(awaitHandled(2));
            assertThat(caller.readUntilEnd())
                    .startsWith("5\r\npiece\r\n0\r\n\r\nHTTP/1.1 200")
                    .contains(CLOSE)
                    .endsWith("/2");
        }
    }

    /** What follows a request with Connection: close is no request; a server must not process it. */
    @Test
    void should_process_nothing_behind_a_request_that_asks_for_the_end_of_its_connection() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port())
                .send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + request("/2"))) {
            respond(awaitHandled(1));
            assertThat(caller.readResponse()).endsWith("/1").contains(CLOSE);
            assertThat(caller.readUntilEnd()).isEmpty();
        }
        assertThat(handled).hasSize(1);
    }

    /** A connection that is closed with unread bytes is reset, and the caller loses what it has not read yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_deliver_the_whole_last_response_to_a_slow_reader_that_goes_on_sending(boolean callerAsksForClose)
            throws Exception {
        String header = callerAsksForClose ? "Connection: close\r\n" : "";
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n" + header + "\r\n");
            HttpExchange exchange = awaitHandled(1);
            stopping = true;
            exchange.respond(200, Map.of(), new byte[LARGE_BODY_BYTES]);
            TimeUnit.MILLISECONDS.sleep(50);
            caller.send(request("/2").repeat(20));
            TimeUnit.MILLISECONDS.sleep(300);
            String head = caller.readHead();
            caller.send(request("/3"));
            assertThat(head).contains(CLOSE);
            assertThat(caller.readUntilEnd()).hasSize(LARGE_BODY_BYTES);
        }
    }

    @Test
    void should_deliver_open_responses_and_read_no_further_request_when_the_listener_shuts_down() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port()).send(request("/1"))) {
            HttpExchange open = awaitHandled(1);
            Future<Void> delivered = listener.shutDown();
            TimeUnit.MILLISECONDS.sleep(100);
            caller.send(request("/2"));
            TimeUnit.MILLISECONDS.sleep(100);
            assertThat(delivered.isDone()).isFalse();
            respond(open);
            assertThat(caller.readResponse()).endsWith("/1");
            assertThat(delivered.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(caller.socket().getInputStream().read()).isNegative();
        }
        assertThat(handled).hasSize(1);
        assertThatThrownBy(() -> RawCaller.connect(listener.port())).isInstanceOf(ConnectException.class);
    }
}
