package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.wire.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against kept connections on which other limits are in force than the configuration tells, or that are closed
 * before the idle timeout.
 */
class OutdatedLimitsOnKeptConnectionTest {

    private static final HttpLimits NARROW = new HttpLimits(100, 300, 300, 600);
    private static final HttpLimits WIDE = new HttpLimits(10_000, 5_000, 2_000, 3_000);
    private static final String FIRST = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private volatile HttpLimits limits = NARROW;
    private final Clock clock = SteadyClock.ofThisMachine();
    private volatile long answerMillis;
    private HttpListener listener;

    @BeforeEach
    void listen() {
        listener = HttpListener.listen(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                () -> limits,
                null,
                () -> false,
                exchange -> group.schedule(() -> respond(exchange), answerMillis, TimeUnit.MILLISECONDS));
    }

    @AfterEach
    void close() {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static void respond(HttpExchange exchange) {
        exchange.respond(200, Map.of(), exchange.path().getBytes(StandardCharsets.UTF_8));
    }

    private RawCaller connectUnder(HttpLimits first, HttpLimits next) throws Exception {
        limits = first;
        RawCaller caller = RawCaller.connect(listener.port()).send(FIRST);
        assertThat(caller.readResponse()).endsWith("/first");
        limits = next;
        return caller;
    }

    private static String withBody(int bytes) {
        return "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes);
    }

    private static String withHeader(int bytes) {
        return "GET /header HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(bytes) + "\r\n\r\n";
    }

    @Test
    void should_accept_larger_requests_once_the_limits_are_raised() throws Exception {
        try (RawCaller caller = connectUnder(NARROW, WIDE)) {
            assertThat(caller.send(withBody(5_000)).readResponse()).endsWith("/body");
            assertThat(caller.send(withHeader(2_000)).readResponse()).endsWith("/header");
        }
    }

    @Test
    void should_refuse_larger_bodies_once_the_limits_are_lowered() throws Exception {
        try (RawCaller caller = connectUnder(WIDE, NARROW)) {
            assertThat(caller.send(withBody(5_000)).readUntilEnd()).startsWith("HTTP/1.1 413");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {320, 2_000, 20_000})
    void should_refuse_larger_heads_once_the_limits_are_lowered(int bytes) throws Exception {
        try (RawCaller caller = connectUnder(WIDE, NARROW)) {
            assertThat(caller.send(withHeader(bytes)).readUntilEnd()).startsWith("HTTP/1.1 431");
        }
    }

    @Test
    void should_apply_the_header_timeout_in_force() throws Exception {
        try (RawCaller caller = connectUnder(NARROW, WIDE)) {
            caller.send("GET /slow HTTP/1.1\r\n");
            TimeUnit.MILLISECONDS.sleep(800);
            assertThat(caller.send("Host: a\r\n\r\n").readResponse()).endsWith("/slow");
        }
        try (RawCaller caller = connectUnder(WIDE, NARROW)) {
            assertThat(caller.send("GET /slow HTTP/1.1\r\nHo").readUntilEnd()).startsWith("HTTP/1.1 408");
        }
    }

    /** A head that arrives in whole lines leaves no unread bytes behind. */
    @Test
    void should_time_out_a_head_that_is_sent_line_by_line() throws Exception {
        limits = new HttpLimits(100, 5_000, 400, 5_000);
        try (RawCaller caller = RawCaller.connect(listener.port()).send("GET /slow HTTP/1.1\r\n")) {
            for (int line = 0; line < 10; line++) {
                TimeUnit.MILLISECONDS.sleep(100);
                caller.send("X-" + line + ": a\r\n");
            }
            assertThat(caller.readUntilEnd()).startsWith("HTTP/1.1 408");
        }
    }

    @Test
    void should_send_nothing_on_an_idle_connection_after_an_empty_line() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port()).send(FIRST + "\r\n")) {
            assertThat(caller.readResponse()).endsWith("/first");
            assertThat(caller.readUntilEnd()).isEmpty();
        }
    }

    @Test
    void should_keep_an_idle_connection_as_long_as_the_timeout_in_force_allows() throws Exception {
        try (RawCaller caller = connectUnder(NARROW, WIDE)) {
            TimeUnit.MILLISECONDS.sleep(WIDE.idleTimeoutMillis() * 4 / 5);
            assertThat(caller.send(FIRST).readResponse()).endsWith("/first");
        }
    }

    @Test
    void should_close_a_connection_that_is_idle_for_longer_than_the_timeout_in_force() throws Exception {
        try (RawCaller caller = connectUnder(WIDE, NARROW)) {
            assertThat(caller.send(FIRST).readResponse()).endsWith("/first");
            long idleSinceMillis = clock.nowMillis();
            assertThat(caller.readUntilEnd()).isEmpty();
            assertThat(clock.nowMillis() - idleSinceMillis)
                    .isBetween(NARROW.idleTimeoutMillis() - 50, WIDE.idleTimeoutMillis() - 500);
        }
    }

    /** The connection is used again after four fifths of the idle timeout, wherever in it the response has ended. */
    @ParameterizedTest
    @ValueSource(longs = {0, 150, 300, 450, 590, 700, 900, 1_100})
    void should_not_count_the_time_of_a_response_as_idle(long millis) throws Exception {
        answerMillis = millis;
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            for (int request = 0; request < 3; request++) {
                assertThat(caller.send(FIRST).readResponse()).endsWith("/first");
                TimeUnit.MILLISECONDS.sleep(NARROW.idleTimeoutMillis() * 4 / 5);
            }
        }
    }
}
