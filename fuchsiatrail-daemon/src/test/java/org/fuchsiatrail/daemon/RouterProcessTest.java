package org.fuchsiatrail.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.daemon.settings.SettingsReader;
import org.fuchsiatrail.daemon.settings.SettingsResult;
import org.fuchsiatrail.standins.model.EngineTraits;
import org.fuchsiatrail.standins.server.EngineServer;
import org.fuchsiatrail.standins.server.ServiceServer;
import org.fuchsiatrail.standins.server.StoreServer;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.peer.Addresses;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests one router process over HTTP and TLS, with stand-ins for the store, an engine and a service on loopback. */
class RouterProcessTest {

    private static final String KEY = "academy.a-key-for-tests";
    private static final String TOKEN = "a-token-for-operators-in-tests";
    private static final ModelVersion MODEL = new ModelVersion("tutor", "v1");
    private static final int MAXIMUM_READY_CHECKS = 500;

    private static final List<AutoCloseable> RUNNING = new ArrayList<>();
    private static AsyncHttpClient http;
    private static String callers;
    private static String operators;

    @BeforeAll
    static void start() throws Exception {
        http = Dsl.asyncHttpClient(Dsl.config().setUseInsecureTrustManager(true).setMaxRequestRetry(0));
        RUNNING.add(http);
        String store = "127.0.0.1:" + freePort();
        String engine = "127.0.0.1:" + freePort();
        String service = "127.0.0.1:" + freePort();
        RUNNING.add(new StoreServer(Addresses.toSocketAddress(store)));
        RUNNING.add(new EngineServer(
                Addresses.toSocketAddress(engine), EngineTraits.standard("engine-1", List.of(MODEL)), ""));
        RUNNING.add(new ServiceServer(Addresses.toSocketAddress(service), "certificates"));
        RouterProcess router = router(store);
        RUNNING.add(0, router);
        applyIntent(engine, service);
        awaitReady();
    }

    private static RouterProcess router(String store) throws IOException {
        callers = "127.0.0.1:" + freePort();
        operators = "127.0.0.1:" + freePort();
        Path resources = Path.of("src", "test", "resources");
        String yaml = """
                router: {id: vm-1, failureDomain: home, secret: a-secret-of-enough-length}
                peers: {listen: '127.0.0.1:%d'}
                callers: {listen: '%s', bodyBytes: 20000, tlsCertificate: %s, tlsKey: %s}
                operators: {listen: '%s', token: %s}
                store: {address: '%s'}
                tracing: {exporter: log}
                """.formatted(
                        freePort(),
                        callers,
                        resources.resolve("test-certificate.pem"),
                        resources.resolve("test-key.pem"),
                        operators,
                        TOKEN,
                        store);
        SettingsResult result = SettingsReader.read(yaml);
        assertThat(result).isInstanceOf(SettingsResult.Valid.class);
        return new RouterProcess(((SettingsResult.Valid) result).settings());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void applyIntent(String engine, String service) throws Exception {
        Intent intent = new Intent(
                List.of(new Intent.Model("tutor", "v1", List.of())),
                List.of(new Intent.Customer(
                        "academy", ApiKeys.hash("0011223344556677", KEY), 1, 0, List.of("tutor@v1"))),
                List.of(
                        new Intent.Upstream(
                                "engine-1",
                                Intent.UpstreamKind.ENGINE,
                                "home",
                                engine,
                                List.of("tutor@v1"),
                                true,
                                false),
                        new Intent.Upstream(
                                "certificates-1",
                                Intent.UpstreamKind.SERVICE,
                                "home",
                                service,
                                List.of("certificates"),
                                false,
                                false)),
                List.of(new Intent.Service("certificates", List.of("POST /issue"))),
                List.of());
        OperatorAnswer.Planned plan = (OperatorAnswer.Planned) sendOperatorRequest(new OperatorRequest.Plan(intent));
        assertThat(sendOperatorRequest(new OperatorRequest.Confirm(plan.planId(), intent)))
                .isInstanceOf(OperatorAnswer.Confirmed.class);
    }

    private static OperatorAnswer sendOperatorRequest(OperatorRequest request) throws Exception {
        byte[] body = WireMapper.json().writerFor(OperatorRequest.class).writeValueAsBytes(request);
        Response response = send(Dsl.post("http://" + operators + "/v1/operator")
                .setHeader("Authorization", "Bearer " + TOKEN)
                .setBody(body));
        return WireMapper.json().readValue(response.getResponseBodyAsBytes(), OperatorAnswer.class);
    }

    private static void awaitReady() throws Exception {
        for (int check = 0; check < MAXIMUM_READY_CHECKS; check++) {
            if (send(Dsl.get("https://" + callers + "/ready")).getStatusCode() == 200) {
                return;
            }
        }
        throw new IllegalStateException("The router did not become ready.");
    }

    private static Response send(RequestBuilder request) throws Exception {
        return http.executeRequest(request).get(20, TimeUnit.SECONDS);
    }

    private static Response chat(String key, byte[] body) throws Exception {
        return send(Dsl.post("https://" + callers + "/v1/chat/completions")
                .setHeader("Authorization", "Bearer " + key)
                .setBody(body));
    }

    private static Response chat(String body) throws Exception {
        return chat(KEY, body.getBytes(StandardCharsets.UTF_8));
    }

    @AfterAll
    static void stop() throws Exception {
        for (AutoCloseable running : RUNNING) {
            running.close();
        }
    }

    @Test
    void should_stream_an_answer_over_tls_with_ids_and_an_explicit_end() throws Exception {
        Response response = chat("{\"model\":\"tutor\",\"stream\":true,\"max_tokens\":4,\"prompt\":\"hello\"}");
        assertThat(response.getStatusCode()).isEqualTo(200);
        assertThat(response.getResponseBody()).contains("id: 4~tutor@v1~").contains("event: end\ndata: {\"count\":4}");
    }

    @Test
    void should_return_a_complete_answer_as_one_body() throws Exception {
        Response response = chat("{\"model\":\"tutor@v1\",\"max_tokens\":3,\"messages\":"
                + "[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"hello\"}]}]}");
        assertThat(response.getResponseBody()).contains("\"completion_tokens\":3");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "{}",
                "{\"model\":\"tutor\"}",
                "{\"model\":5,\"prompt\":[]}",
                "{\"model\":\"tutor\",\"prompt\":\"x\",\"max_tokens\":0}",
                "{\"model\":\"tutor\",\"prompt\":\"x\",\"priority\":77}",
                "{\"model\":\"tutor\",\"prompt\":\"x\",\"first_token_ms\":-1}"
            })
    void should_refuse_a_malformed_body_with_code_1001(String body) throws Exception {
        Response response = chat(body);
        assertThat(response.getStatusCode()).isEqualTo(400);
        assertThat(response.getResponseBody()).contains("\"code\":1001");
    }

    @Test
    void should_keep_serving_after_random_bodies() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        for (int number = 0; number < 200; number++) {
            byte[] body = new byte[random.nextInt(300)];
            random.nextBytes(body);
            assertThat(chat(KEY, body).getStatusCode()).isEqualTo(400);
        }
        should_return_a_complete_answer_as_one_body();
    }

    @Test
    void should_refuse_a_body_over_the_limit() throws Exception {
        Response response = chat("{\"model\":\"tutor\",\"prompt\":\"" + "x".repeat(30_000) + "\"}");
        assertThat(response.getStatusCode()).isEqualTo(413);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "academy", "academy.wrong", "nobody.a-key-for-tests", "."})
    void should_refuse_a_wrong_key_with_code_1002(String key) throws Exception {
        byte[] body = "{\"model\":\"tutor\",\"prompt\":\"x\"}".getBytes(StandardCharsets.UTF_8);
        Response response = chat(key, body);
        assertThat(response.getStatusCode()).isEqualTo(401);
        assertThat(response.getResponseBody()).contains("\"code\":1002");
    }

    @Test
    void should_refuse_operators_without_the_token() throws Exception {
        for (String path : List.of("/metrics", "/metrics.json", "/v1/operator")) {
            assertThat(send(Dsl.get("http://" + operators + path).setHeader("Authorization", "Bearer wrong"))
                            .getStatusCode())
                    .isEqualTo(401);
        }
    }

    @Test
    void should_export_metrics_in_both_formats_without_secrets() throws Exception {
        chat("{\"model\":\"tutor\",\"max_tokens\":1,\"prompt\":\"hello\"}");
        for (String path : List.of("/metrics", "/metrics.json")) {
            Response response =
                    send(Dsl.get("http://" + operators + path).setHeader("Authorization", "Bearer " + TOKEN));
            assertThat(response.getResponseBody()).contains("requests").doesNotContain("a-secret-of", TOKEN, KEY);
        }
    }

    @Test
    void should_issue_a_certificate_once_and_replay_its_answer() throws Exception {
        RequestBuilder first = certificate("k1");
        assertThat(send(first).getHeader("Idempotency-Replayed")).isEqualTo("false");
        assertThat(send(certificate("k1")).getHeader("Idempotency-Replayed")).isEqualTo("true");
        assertThat(send(certificate("")).getResponseBody()).contains("\"code\":1008");
    }

    private static RequestBuilder certificate(String key) {
        RequestBuilder request = Dsl.post("https://" + callers + "/services/certificates/issue")
                .setHeader("Authorization", "Bearer " + KEY)
                .setBody("{}");
        return key.isEmpty() ? request : request.setHeader("Idempotency-Key", key);
    }
}
