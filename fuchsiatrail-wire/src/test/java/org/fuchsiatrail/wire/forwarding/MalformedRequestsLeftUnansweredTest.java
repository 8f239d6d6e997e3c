package org.fuchsiatrail.wire.forwarding;

import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import org.fuchsiatrail.wire.http.RawCaller;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against malformed requests that get no answer because many of them were read behind a sound request. */
class MalformedRequestsLeftUnansweredTest {

    private static final int REQUESTS = 3_000;

    /** Makes the router read as much at a time as it ever does. */
    private static final int LARGE_BODY_BYTES = 500_000;

    private static String call(String method, String path, String attempt, String headers) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + LoopOnLoopback.HOST + "\r\n" + LoopOnLoopback.ATTEMPT
                + ": " + attempt + "\r\n" + headers + "\r\n";
    }

    @Test
    void should_answer_all_malformed_requests_behind_a_sound_one_and_serve_others() throws Exception {
        try (LoopOnLoopback loop = new LoopOnLoopback(UnaryOperator.identity(), UnaryOperator.identity());
                RawCaller caller = RawCaller.connect(loop.port());
                RawCaller other = RawCaller.connect(loop.port())) {
            caller.send(call("POST", "/read/1", "a1", "Content-Length: " + LARGE_BODY_BYTES + "\r\n")
                    + "b".repeat(LARGE_BODY_BYTES));
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200");
            caller.send(call("GET", "/read/2", "a2", "") + "GET /\u00e9 HTTP/1.1\r\n\r\n".repeat(REQUESTS));
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200");
            TimeUnit.MILLISECONDS.sleep(500);
            other.send(call("GET", "/read/3", "a3", ""));
            assertThat(other.readResponse()).as("response to another caller").startsWith("HTTP/1.1 200");
            for (int number = 1; number <= REQUESTS; number++) {
                assertThat(caller.readResponse()).as("response " + number).startsWith("HTTP/1.1 400");
            }
        }
    }
}
