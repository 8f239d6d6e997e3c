package org.fuchsiatrail.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.daemon.Main;
import org.fuchsiatrail.standins.model.EngineTraits;
import org.fuchsiatrail.standins.server.EngineServer;
import org.fuchsiatrail.standins.server.StoreServer;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.peer.Addresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers outside any control that end the daemon's process or stop it from serving others: the process
 * runs on, its memory and descriptors stay under a bound, and an ordinary request is answered afterwards.
 */
class UnrulyCallersExhaustDaemonMemoryTest {

    /** The memory of the VM, in megabytes, 60 % of which go to the heap. */
    private static final int MACHINE_MEGABYTES = 258;

    private static final int CALLERS = 60;

    /** The descriptors of a process without callers, with a margin. */
    private static final int OTHER_DESCRIPTORS = 120;

    private static final int ATTEMPTS = 60;
    private static final String CHAT = "/v1/chat/completions";
    private static final String KEY = "academy.a-key-for-tests";
    private static final String TOKEN = "a-token-for-operators-in-tests";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int callerPort = freePort();
    private final int operatorPort = freePort();
    private final List<AutoCloseable> standins = new ArrayList<>();

    @TempDir
    private Path directory;

    private Process process;

    UnrulyCallersExhaustDaemonMemoryTest() throws IOException {}

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @BeforeEach
    void start() throws Exception {
        String store = "127.0.0.1:" + freePort();
        String engine = "127.0.0.1:" + freePort();
        standins.add(new StoreServer(Addresses.toSocketAddress(store)));
        standins.add(new EngineServer(
                Addresses.toSocketAddress(engine),
                EngineTraits.standard("engine-1", List.of(new ModelVersion("tutor", "v1"))),
                ""));
        Path settings = Files.writeString(
                directory.resolve("vm-1.yaml"), """
                router: {id: vm-1, failureDomain: home, secret: a-secret-of-enough-length}
                peers: {listen: '127.0.0.1:%d'}
                callers: {listen: '127.0.0.1:%d'}
                operators: {listen: '127.0.0.1:%d', token: %s}
                store: {address: '%s'}
                """.formatted(freePort(), callerPort, operatorPort, TOKEN, store));
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:MaxRAM=" + MACHINE_MEGABYTES + "m",
                        "-XX:MaxRAMPercentage=60",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "router",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(log().toFile())
                .start();
        awaitAnswer(() -> status(request(operatorPort, "/health").build()));
        applyIntent(engine);
        awaitAnswer(this::chat);
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

    /** A caller may try again after a refusal. */
    private void awaitAnswer(Attempt attempt) throws Exception {
        String last = "no attempt";
        for (int number = 0; number < ATTEMPTS && process.isAlive(); number++) {
            try {
                last = "status " + attempt.status();
            } catch (IOException e) {
                last = e.toString();
            }
            if (last.equals("status 200")) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        throw new AssertionError("not answered: " + last + "\n" + Files.readString(log()));
    }

    @AfterEach
    void stop() throws Exception {
        process.destroyForcibly().waitFor();
        for (AutoCloseable standin : standins) {
            standin.close();
        }
    }

    static Stream<Arguments> crowds() {
        return Stream.of(UnrulyCallers.Kind.values())
                .flatMap(kind -> Stream.of(
                        Arguments.of(kind, "callers", CHAT),
                        Arguments.of(kind, "callers", "/nowhere"),
                        Arguments.of(kind, "operators", "/ready")));
    }

    @ParameterizedTest
    @MethodSource("crowds")
    void should_outlast_a_crowd_and_serve_an_ordinary_caller(UnrulyCallers.Kind kind, String port, String path)
            throws Exception {
        int number = port.equals("callers") ? callerPort : operatorPort;
        try (UnrulyCallers crowd = new UnrulyCallers(CALLERS, kind, number, path)) {
            crowd.awaitSent(6);
            assertThat(descriptors()).as("descriptors").isLessThanOrEqualTo(CALLERS + OTHER_DESCRIPTORS);
            awaitAnswer(this::chat);
        }
        assertThat(process.isAlive()).as("process lives").isTrue();
        System.out.println(kind + " " + port + path + ": most resident megabytes " + mostMemoryMegabytes());
        assertThat(Files.readAllLines(log()).stream().filter(line -> line.contains("OutOfMemoryError")))
                .as("failures for want of memory")
                .isEmpty();
        assertThat(mostMemoryMegabytes()).as("resident megabytes").isLessThanOrEqualTo(MACHINE_MEGABYTES);
        awaitAnswer(this::chat);
    }

    private int descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) open.count();
        }
    }

    private long mostMemoryMegabytes() throws IOException {
        String line = Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(each -> each.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
    }
}
