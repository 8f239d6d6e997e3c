package org.fuchsiatrail.wire.forwarding;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.fuchsiatrail.wire.http.RawCaller;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against answers without a body after which the next request on the connection gets none, or a wrong one. */
class BodylessAnswerShiftsResponsesTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: a2\r\nContent-Length: 4\r\n\r\nbody";

    private static String request(String method, String attempt) {
        return method + " /raw/" + attempt + " HTTP/1.1\r\nHost: " + LoopOnLoopback.HOST + "\r\n"
                + LoopOnLoopback.ATTEMPT + ": " + attempt + "\r\n\r\n";
    }

    @ParameterizedTest
    @CsvSource({
        "HEAD, 200 OK, Content-Length: 4",
        "HEAD, 200 OK, Transfer-Encoding: chunked",
        "HEAD, 404 Not Found, Content-Length: 9",
        "GET, 204 No Content, X-Odd: 1",
        "GET, 204 No Content, Content-Length: 0",
        "GET, 304 Not Modified, Content-Length: 4",
        "GET, 304 Not Modified, Transfer-Encoding: chunked",
        "GET, 200 OK, Content-Length: 0",
        "POST, 201 Created, Content-Length: 0",
    })
    void should_answer_the_next_request_after_an_answer_without_a_body(String method, String status, String header)
            throws Exception {
        String first = "HTTP/1.1 " + status + "\r\nX-Attempt: a1\r\n" + header + "\r\n\r\n";
        try (ServerSocket upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                LoopOnLoopback loop = new LoopOnLoopback("127.0.0.1:" + upstream.getLocalPort());
                RawCaller caller = RawCaller.connect(loop.port())) {
            Thread.ofVirtual().start(() -> acceptAll(upstream, first));
            caller.send(request(method, "a1"));
            assertThat(caller.readHead()).startsWith("HTTP/1.1 " + status.substring(0, 3));
            caller.send(request("GET", "a2"));
            assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nbody");
            assertThat(loop.counter("outputs.failed") + loop.counter("connections.failed"))
                    .isZero();
        }
    }

    private static void acceptAll(ServerSocket upstream, String first) {
        while (!upstream.isClosed()) {
            try {
                Socket connection = upstream.accept();
                Thread.ofVirtual().start(() -> answerAll(connection, first));
            } catch (IOException e) {
                assertThat(upstream.isClosed()).isTrue();
            }
        }
    }

    /** Answers the request of the first attempt as given, and others with a body. */
    private static void answerAll(Socket connection, String first) {
        byte[] buffer = new byte[8_192];
        try (connection) {
            for (int read = connection.getInputStream().read(buffer);
                    read > 0;
                    read = connection.getInputStream().read(buffer)) {
                String received = new String(buffer, 0, read, StandardCharsets.ISO_8859_1);
                String answer = received.contains("/raw/a1") ? first : OK;
                connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            assertThat(connection.isClosed()).isTrue();
        }
    }
}
