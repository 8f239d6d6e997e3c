package org.fuchsiatrail.wire.forwarding;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.fuchsiatrail.wire.http.RawCaller;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that get no final answer because that of their upstream is unusual or malformed. */
class OddAnswerLeavesRequestUnansweredTest {

    private static final String ATTEMPT = "a1";

    private static String request(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: " + LoopOnLoopback.HOST + "\r\n" + LoopOnLoopback.ATTEMPT + ": "
                + ATTEMPT + "\r\nConnection: close\r\n\r\n";
    }

    @ParameterizedTest
    @CsvSource({
        "99 Odd, 502",
        "000 Odd, 502",
        "101 Switching Protocols, 502",
        "199 Odd, 504",
        "1000 Odd, 502",
        "4294967496 Odd, 502",
        "-200 Odd, 502",
        "abc Odd, 502",
        "200, 200",
        "299 Odd, 299",
        "599 Odd, 599",
        "600 Odd, 502",
        "799 Odd, 502",
        "999 Odd, 502",
    })
    void should_deliver_only_answers_of_which_the_status_ends_a_request(String status, int expected) throws Exception {
        String answer = "HTTP/1.1 " + status + "\r\nX-Attempt: a1\r\nContent-Length: 4\r\n\r\nbody";
        assertThat(responseTo("/raw/1", answer)).startsWith("HTTP/1.1 " + expected);
    }

    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
    void should_deliver_the_answer_that_follows_an_interim_one(String interim) throws Exception {
        String answer = "HTTP/1.1 " + interim + "\r\nX-Attempt: a1\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 4\r\n\r\nbody";
        assertThat(responseTo("/raw/1", answer)).startsWith("HTTP/1.1 200").endsWith("body");
    }

    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
    void should_answer_a_request_that_gets_only_an_interim_answer(String interim) throws Exception {
        String answer = "HTTP/1.1 " + interim + "\r\nX-Attempt: a1\r\n\r\n";
        assertThat(responseTo("/raw/1", answer)).containsPattern("^HTTP/1.1 (502|504) ");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Odd: a\0b",
                "X-Odd: a\u000bb",
                "X-Odd: a\rb",
                "X-Odd: a\u007fb",
                "X-Odd: \u00e9\u00ff",
                "X-Odd: a\r\n folded",
                "X-Odd:",
                "X Odd: a",
                "X-Odd : a",
                "X\0Odd: a",
                "X-\u00e9: a",
                ": a",
                "no colon",
                "Connection: X-Attempt",
                "Connection: ,, ,",
                "Content-Length: 5",
                "Transfer-Encoding: chunked",
                "Transfer-Encoding: gzip",
                "Trailer: X-Attempt",
                "Content-Encoding: gzip",
                "Content-Type: text/event-stream",
            })
    void should_answer_once_and_only_in_well_formed_http_when_a_header_is_odd(String header) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 4\r\n" + header + "\r\n\r\nbody";
        for (String path : new String[] {"/raw/1", "/events/1"}) {
            String response = responseTo(path, head);
            assertThat(response).as(path).containsPattern("^HTTP/1.1 (200|502|504) ");
            assertThat(response.split("HTTP/1.1 ", -1)).as(path).hasSize(2);
            assertThat(response).as(path).doesNotContain("\0").doesNotContainPattern("\r[^\n]");
            if (response.startsWith("HTTP/1.1 200")) {
                assertThat(response).as(path).endsWith("\r\n\r\nbody");
            }
        }
    }

    /** Sends a request of which the upstream's answer is given, and returns all that the caller receives. */
    private static String responseTo(String path, String answer) throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                LoopOnLoopback loop = new LoopOnLoopback("127.0.0.1:" + upstream.getLocalPort())) {
            Thread.ofVirtual().start(() -> answerAll(upstream, answer));
            try (RawCaller caller = RawCaller.connect(loop.port()).send(request(path))) {
                String response = caller.readUntilEnd();
                assertThat(loop.counter("outputs.failed") + loop.counter("connections.failed"))
                        .isZero();
                return response;
            }
        }
    }

    /** Answers each request and leaves its connection open. */
    private static void answerAll(ServerSocket upstream, String answer) {
        while (!upstream.isClosed()) {
            try {
                Socket connection = upstream.accept();
                if (connection.getInputStream().read(new byte[8_192]) > 0) {
                    connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                assertThat(upstream.isClosed()).isTrue();
            }
        }
    }
}
