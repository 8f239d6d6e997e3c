package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests without an answer because many that are answered at once were read behind another one. */
class RequestsLostBehindLongPipelineTest {

    private static final int REQUESTS = 3_000;

    /** Makes the listener read as much at a time as it ever does. */
    private static final int LARGE_BODY_BYTES = 900_000;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final List<HttpExchange> held = new CopyOnWriteArrayList<>();
    private HttpListener listener;

    @BeforeEach
    void listen() {
        listener = HttpListener.listen(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                new HttpLimits(1_000_000, 2_000, 5_000, 5_000),
                null,
                exchange -> {
                    if (exchange.path().equals("/held")) {
                        held.add(exchange);
                    } else {
                        exchange.respond(400, Map.of(), new byte[0]);
                    }
                });
    }

    @AfterEach
    void close() {
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void should_answer_each_of_many_requests_that_were_read_behind_one_that_takes_time() throws Exception {
        try (RawCaller caller = RawCaller.connect(listener.port())) {
            caller.send("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n"
                    + "b".repeat(LARGE_BODY_BYTES));
            caller.readResponse();
            caller.send("GET /held HTTP/1.1\r\n\r\n" + "GET / HTTP/1.1\r\n\r\n".repeat(REQUESTS));
            for (int poll = 0; poll < 400 && held.isEmpty(); poll++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            TimeUnit.MILLISECONDS.sleep(100);
            held.getFirst().respond(200, Map.of(), new byte[0]);
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200");
            for (int number = 1; number <= REQUESTS; number++) {
                assertThat(caller.readResponse()).as("response " + number).startsWith("HTTP/1.1 400");
            }
        }
    }
}
