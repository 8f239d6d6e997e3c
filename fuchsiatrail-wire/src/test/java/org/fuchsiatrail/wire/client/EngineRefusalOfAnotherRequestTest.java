package org.fuchsiatrail.wire.client;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.AsyncHttpClient;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.wire.WireMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against the repeated refusal of an earlier request that is taken for that of the next one. */
class EngineRefusalOfAnotherRequestTest {

    private static final ObjectMapper JSON = WireMapper.json();

    private final AsyncHttpClient http = HttpClients.create(1);
    private final EngineClient client = new EngineClient(http);
    private final ServerSocket engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Queue<EngineEvent> answers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger connections = new AtomicInteger();

    EngineRefusalOfAnotherRequestTest() throws IOException {
        Thread.ofVirtual().start(this::accept);
    }

    @AfterEach
    void stop() throws IOException {
        http.close();
        engine.close();
    }

    private void accept() {
        while (!engine.isClosed()) {
            try {
                Socket connection = engine.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                assertThat(engine.isClosed()).isTrue();
            }
        }
    }

    /** Answers each request on a connection that it keeps with the next of the answers. */
    private void serve(Socket accepted) {
        try (Socket connection = accepted) {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            while (readRequest(input)) {
                String line = JSON.writerFor(EngineEvent.class).writeValueAsString(answers.poll()) + "\n";
                String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line;
                connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            assertThat(accepted.isClosed()).isTrue();
        }
    }

    private static boolean readRequest(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        String length = head.toString().replaceAll("(?is).*content-length: (\\d+).*", "$1");
        input.readNBytes(Integer.parseInt(length));
        return true;
    }

    private EngineEvent run(String request) throws Exception {
        EngineCall call = new EngineCall(
                new RequestId(request),
                new CustomerId("c1"),
                new ModelVersion("m", "1"),
                "",
                "",
                0,
                "prompt",
                0,
                8,
                5,
                "");
        CompletableFuture<EngineEvent> last = new CompletableFuture<>();
        client.start("127.0.0.1:" + engine.getLocalPort(), call, last::complete);
        return last.get(5, TimeUnit.SECONDS);
    }

    private static EngineEvent refusalOf(String request) {
        return new EngineEvent.Refused(new RequestId(request), "busy", 0);
    }

    @Test
    void should_not_take_the_refusal_of_an_earlier_request_for_that_of_the_next_one() throws Exception {
        answers.add(refusalOf("r1"));
        answers.add(refusalOf("r1"));
        assertThat(run("r1")).isEqualTo(refusalOf("r1"));
        assertThat(run("r2")).isInstanceOf(EngineEvent.Lost.class);
    }

    @Test
    void should_send_a_refused_request_again_over_another_connection() throws Exception {
        answers.add(refusalOf("r1"));
        answers.add(refusalOf("r1"));
        run("r1");
        run("r1");
        assertThat(connections).hasValue(2);
    }
}
