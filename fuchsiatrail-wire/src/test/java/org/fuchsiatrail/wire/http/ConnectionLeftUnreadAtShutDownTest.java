package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against connections that are neither read nor closed after the listener has shut down, until the responses on
 * all other connections are delivered: a request that is sent on them meanwhile has no answer and no end.
 */
class ConnectionLeftUnreadAtShutDownTest {

    /** More than a caller receives before it reads, and little enough for the system to take it from the listener. */
    private static final int STREAM_BYTES = 200_000;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<String, HttpExchange> handled = new ConcurrentHashMap<>();
    private HttpListener listener;

    @BeforeEach
    void listen() {
        listener = HttpListener.listen(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                HttpLimits::internal,
                null,
                () -> true,
                exchange -> handled.put(exchange.path(), exchange));
    }

    @AfterEach
    void close() {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static String request(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    private HttpExchange awaitHandled(String path) throws InterruptedException {
        for (int poll = 0; poll < 400 && !handled.containsKey(path); poll++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(handled).containsKey(path);
        return handled.get(path);
    }

    private Future<Void> shutDown() throws InterruptedException {
        Future<Void> delivered = listener.shutDown();
        TimeUnit.MILLISECONDS.sleep(50);
        return delivered;
    }

    private void assertEndsBeforeOther(RawCaller caller, RawCaller other, Future<Void> delivered) throws Exception {
        assertThat(caller.readUntilEnd()).isEmpty();
        assertThat(delivered.isDone()).isFalse();
        handled.get("/other").respond(200, Map.of(), new byte[0]);
        assertThat(other.readResponse()).startsWith("HTTP/1.1 200");
        assertThat(delivered.await(5, TimeUnit.SECONDS)).isTrue();
    }

    /** The head of a stream does not announce the end of its connection. */
    @Test
    void should_close_a_connection_whose_stream_ends_after_the_shut_down() throws Exception {
        try (RawCaller other = RawCaller.connect(listener.port()).send(request("/other"));
                RawCaller caller = RawCaller.connect(listener.port()).send(request("/stream"))) {
            awaitHandled("/other");
            HttpExchange stream = awaitHandled("/stream");
            stream.beginStream(200, Map.of());
            assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
            Future<Void> delivered = shutDown();
            stream.sendChunk("piece".getBytes(StandardCharsets.UTF_8));
            stream.endStream();
            byte[] body = "5\r\npiece\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
            assertThat(caller.socket().getInputStream().readNBytes(body.length)).isEqualTo(body);
            caller.send(request("/2"));
            assertEndsBeforeOther(caller, other, delivered);
        }
    }

    /** A part of a request has arrived that is not read to its end any more. */
    @Test
    void should_close_a_connection_with_a_part_of_a_request_behind_its_last_response() throws Exception {
        String behind = request("/2");
        try (RawCaller other = RawCaller.connect(listener.port()).send(request("/other"));
                RawCaller caller = RawCaller.connect(listener.port()).send(request("/1") + behind.substring(0, 9))) {
            awaitHandled("/other");
            HttpExchange first = awaitHandled("/1");
            Future<Void> delivered = shutDown();
            TimeUnit.MILLISECONDS.sleep(1_000);
            first.respond(200, Map.of(), new byte[0]);
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").contains("connection: close");
            caller.send(behind.substring(9));
            assertEndsBeforeOther(caller, other, delivered);
        }
    }

    /** A connection that is closed with unread bytes is reset, and the caller loses what it has not read yet. */
    @Test
    void should_deliver_a_whole_stream_to_a_slow_reader_that_goes_on_sending() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port()).send(request("/stream"))) {
            HttpExchange stream = awaitHandled("/stream");
            stream.beginStream(200, Map.of());
            Future<Void> delivered = shutDown();
            stream.sendChunk(new byte[STREAM_BYTES]);
            stream.endStream();
            caller.send(request("/2"));
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
            assertThat(caller.readUntilEnd()).hasSizeGreaterThan(STREAM_BYTES).endsWith("\r\n0\r\n\r\n");
            assertThat(delivered.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }
}
