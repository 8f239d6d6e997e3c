package org.fuchsiatrail.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.daemon.settings.SettingsReader;
import org.fuchsiatrail.daemon.settings.SettingsResult;
import org.fuchsiatrail.standins.server.StoreServer;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.peer.Addresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against callers that get no answer because an output of the router throws. */
class AnswerLostByFailedOutputTest {

    private static final String KEY = "academy.a-key-for-tests";
    private static final String TOKEN = "a-token-for-operators-in-tests";
    private static final String REQUEST_ID = "x-request-id";
    private static final int MAXIMUM_READY_CHECKS = 500;

    private final AsyncHttpClient http =
            Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0).build());
    private final String callers = "127.0.0.1:" + freePort();
    private final String operators = "127.0.0.1:" + freePort();
    private final String storeAddress = "127.0.0.1:" + freePort();
    private final StoreServer store = new StoreServer(Addresses.toSocketAddress(storeAddress));
    private final ServerSocket service = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private volatile String status = "200 OK";
    private RouterProcess router;

    AnswerLostByFailedOutputTest() throws IOException {}

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @BeforeEach
    void start() throws Exception {
        Thread.ofVirtual().start(this::acceptCalls);
        String yaml = """
                router: {id: vm-1, failureDomain: home, secret: a-secret-of-enough-length}
                peers: {listen: '127.0.0.1:%d'}
                callers: {listen: '%s'}
                operators: {listen: '%s', token: %s}
                store: {address: '%s'}
                """.formatted(freePort(), callers, operators, TOKEN, storeAddress);
        router = new RouterProcess(((SettingsResult.Valid) SettingsReader.read(yaml)).settings());
        Intent intent = new Intent(
                List.of(),
                List.of(new Intent.Customer("academy", ApiKeys.hash("0011223344556677", KEY), 1, 0, List.of())),
                List.of(new Intent.Upstream(
                        "odd-1",
                        Intent.UpstreamKind.SERVICE,
                        "home",
                        "127.0.0.1:" + service.getLocalPort(),
                        List.of("odd"),
                        false,
                        false)),
                List.of(new Intent.Service("odd", List.of())),
                List.of());
        OperatorAnswer.Planned plan = (OperatorAnswer.Planned) ask(new OperatorRequest.Plan(intent));
        assertThat(ask(new OperatorRequest.Confirm(plan.planId(), intent)))
                .isInstanceOf(OperatorAnswer.Confirmed.class);
        for (int check = 0; check < MAXIMUM_READY_CHECKS; check++) {
            if (send(Dsl.get("http://" + callers + "/ready")).getStatusCode() == 200) {
                return;
            }
        }
        throw new IllegalStateException("The router did not become ready.");
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
        service.close();
        store.close();
        http.close();
    }

    /** Answers each call with the status that the test has set, and with the id of its request. */
    private void acceptCalls() {
        while (!service.isClosed()) {
            try (Socket connection = service.accept()) {
                BufferedReader input = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                String echo = "";
                for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
                    echo = line.toLowerCase(Locale.ROOT).startsWith(REQUEST_ID) ? line + "\r\n" : echo;
                }
                String response =
                        "HTTP/1.1 " + status + "\r\n" + echo + "Content-Length: 4\r\nConnection: close\r\n\r\nbody";
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            } catch (SocketException e) {
                return;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private OperatorAnswer ask(OperatorRequest request) throws Exception {
        byte[] body = WireMapper.json().writerFor(OperatorRequest.class).writeValueAsBytes(request);
        Response response = send(Dsl.post("http://" + operators + "/v1/operator")
                .setHeader("Authorization", "Bearer " + TOKEN)
                .setBody(body));
        return WireMapper.json().readValue(response.getResponseBodyAsBytes(), OperatorAnswer.class);
    }

    private Response send(RequestBuilder request) throws Exception {
        return http.executeRequest(request).get(5, TimeUnit.SECONDS);
    }

    private Response call() throws Exception {
        return send(Dsl.get("http://" + callers + "/services/odd/1").setHeader("Authorization", "Bearer " + KEY));
    }

    @ParameterizedTest
    @ValueSource(strings = {"102 Processing", "199 Odd", "1000 Odd"})
    void should_answer_a_call_whose_answer_cannot_be_written(String oddStatus) throws Exception {
        status = oddStatus;
        Response response = call();
        assertThat(response.getStatusCode()).isEqualTo(502);
        assertThat(response.getResponseBody()).contains("\"code\":3002");
        Response metrics =
                send(Dsl.get("http://" + operators + "/metrics").setHeader("Authorization", "Bearer " + TOKEN));
        assertThat(metrics.getResponseBody()).contains("outputs_failed").doesNotContain("ticks_failed");
    }

    @Test
    void should_deliver_an_answer_that_can_be_written() throws Exception {
        assertThat(call().getResponseBody()).isEqualTo("body");
    }
}
