package org.fuchsiatrail.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.daemon.Main;
import org.fuchsiatrail.standins.model.EngineTraits;
import org.fuchsiatrail.standins.process.ProcessUse;
import org.fuchsiatrail.standins.server.EngineServer;
import org.fuchsiatrail.standins.server.StoreServer;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.peer.Addresses;

/** A daemon that runs as a process of its own on a VM of a certain memory, with a store and an engine. */
final class DaemonOnLoopback implements AutoCloseable {

    static final String CHAT = "/v1/chat/completions";
    static final String KEY = "academy.a-key-for-tests";

    private static final int ATTEMPTS = 60;

    /** The number of unanswered attempts, of ten seconds each, after which a process counts as hanging. */
    private static final int HANGING_ATTEMPTS = 5;

    private static final int ENGINE_STREAMS = 1_000;
    private static final String TOKEN = "a-token-for-operators-in-tests";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int callerPort = freePort();
    private final int operatorPort = freePort();
    private final int peerPort = freePort();
    private final List<AutoCloseable> standins = new ArrayList<>();
    private final Path directory;
    private final Process process;

    /** Starts a daemon whose process gets a limit of descriptors, or 0 for that of the tests. */
    DaemonOnLoopback(Path directory, int machineMegabytes, int descriptors) throws Exception {
        this.directory = directory;
        String store = "127.0.0.1:" + freePort();
        String engine = "127.0.0.1:" + freePort();
        standins.add(new StoreServer(Addresses.toSocketAddress(store)));
        standins.add(new EngineServer(Addresses.toSocketAddress(engine), engineTraits(), ""));
        Path settings = Files.writeString(
                directory.resolve("vm-1.yaml"), """
                router: {id: vm-1, failureDomain: home, secret: a-secret-of-enough-length}
                peers: {listen: '127.0.0.1:%d'}
                callers: {listen: '127.0.0.1:%d'}
                operators: {listen: '127.0.0.1:%d', token: %s}
                store: {address: '%s'}
                """.formatted(peerPort, callerPort, operatorPort, TOKEN, store));
        List<String> command = new ArrayList<>();
        if (descriptors > 0) {
            command.addAll(List.of("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh"));
        }
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxRAM=" + machineMegabytes + "m",
                "-XX:MaxRAMPercentage=60",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "router",
                "--settings",
                settings.toString()));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log().toFile())
                .start();
        awaitAnswer(() -> status(request(operatorPort, "/health").build()));
        applyIntent(engine);
        awaitOrdinaryAnswer();
    }

    private static EngineTraits engineTraits() {
        EngineTraits standard = EngineTraits.standard("engine-1", List.of(new ModelVersion("tutor", "v1")));
        return new EngineTraits(
                new UpstreamId("engine-1"),
                standard.models(),
                standard.maximumCachedCheckpoints(),
                standard.prefillTokensPerSecond(),
                standard.tokenIntervalMillis(),
                ENGINE_STREAMS,
                standard.loadReportDelayMillis(),
                standard.weightLoadDurationMillis(),
                standard.checksFencing());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    int callerPort() {
        return callerPort;
    }

    int operatorPort() {
        return operatorPort;
    }

    int peerPort() {
        return peerPort;
    }

    Process process() {
        return process;
    }

    /** Watches the process. */
    ProcessUse use() {
        return new ProcessUse(process, List.of(callerPort, operatorPort, peerPort));
    }

    List<String> logLines() throws IOException {
        return Files.readAllLines(log());
    }

    private Path log() {
        return directory.resolve("vm-1.log");
    }

    private void applyIntent(String engine) throws Exception {
        Intent intent = new Intent(
                List.of(new Intent.Model("tutor", "v1", List.of())),
                List.of(new Intent.Customer(
                        "academy", ApiKeys.hash("0011223344556677", KEY), 1, 0, List.of("tutor@v1"))),
                List.of(new Intent.Upstream(
                        "engine-1", Intent.UpstreamKind.ENGINE, "home", engine, List.of("tutor@v1"), true, false)),
                List.of(),
                List.of());
        OperatorAnswer.Planned plan = (OperatorAnswer.Planned) operate(new OperatorRequest.Plan(intent));
        operate(new OperatorRequest.Confirm(plan.planId(), intent));
    }

    private OperatorAnswer operate(OperatorRequest request) throws Exception {
        byte[] body = WireMapper.json().writerFor(OperatorRequest.class).writeValueAsBytes(request);
        HttpRequest call = request(operatorPort, "/v1/operator")
                .header("Authorization", "Bearer " + TOKEN)
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return WireMapper.json()
                .readValue(
                        http.send(call, HttpResponse.BodyHandlers.ofByteArray()).body(), OperatorAnswer.class);
    }

    private static HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(10));
    }

    /** Sends ordinary requests until one is answered; a caller may try again after a refusal. */
    void awaitOrdinaryAnswer() throws Exception {
        awaitAnswer(this::chat);
    }

    private int chat() throws IOException, InterruptedException {
        String body = "{\"model\":\"tutor\",\"max_tokens\":2,\"prompt\":\"hello\"}";
        return status(request(callerPort, CHAT)
                .header("Authorization", "Bearer " + KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    private int status(HttpRequest request) throws IOException, InterruptedException {
        return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private interface Attempt {
        int status() throws IOException, InterruptedException;
    }

    private void awaitAnswer(Attempt attempt) throws Exception {
        String last = "no attempt";
        int unanswered = 0;
        for (int number = 0; number < ATTEMPTS && unanswered < HANGING_ATTEMPTS && process.isAlive(); number++) {
            try {
                last = "status " + attempt.status();
            } catch (HttpTimeoutException e) {
                unanswered++;
                last = e.toString();
            } catch (IOException e) {
                last = e.toString();
            }
            if (last.equals("status 200")) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        List<String> lines = logLines();
        throw new AssertionError("not answered: " + last + "; process lives: " + process.isAlive()
                + "; end of the log:\n"
                + String.join("\n", lines.subList(Math.max(0, lines.size() - 10), lines.size())));
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
        for (AutoCloseable standin : standins) {
            standin.close();
        }
    }
}
