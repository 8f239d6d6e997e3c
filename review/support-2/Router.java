import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process, started with the command of the deploy file and its template of settings. */
final class Router implements AutoCloseable {

    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)\\}\\}");

    final String name;
    /** Keep the ports for the process until it starts. */
    private final List<ServerSocket> reserved = new ArrayList<>();

    private final List<Integer> ports = freePorts(4);
    private final Path directory;
    private final List<String> command;
    private final Path settings;
    private String virtualMachineOptions = "";
    private Process process;

    Router(Path directory, String name, String zone, String storeAddress) throws IOException {
        this(directory, name, zone, storeAddress, 280);
    }

    /** A router on a machine of another size. */
    Router(Path directory, String name, String zone, String storeAddress, int megabytes) throws IOException {
        this(directory, name, zone, new Platform(storeAddress, storeAddress, megabytes));
    }

    /**
     * What the platform gives a router.
     *
     * @param storeAddress the address of the store, or of a view of it
     * @param secret what all routers have in common
     * @param megabytes the memory of the machine
     */
    record Platform(String storeAddress, String secret, int megabytes) {}

    Router(Path directory, String name, String zone, Platform platform) throws IOException {
        this.name = name;
        this.directory = directory;
        this.settings = directory.resolve(name + ".yaml");
        Map<String, String> fields = Map.ofEntries(
                Map.entry("node_name", name),
                Map.entry("zone", zone),
                Map.entry("listen.front", "127.0.0.1:" + ports.get(0)),
                Map.entry("listen.ready", "127.0.0.1:" + ports.get(1)),
                Map.entry("platform.address", platform.storeAddress()),
                Map.entry("bounds.budget_ratio", "0.2"),
                Map.entry("bounds.retry_slack", "54"),
                Map.entry("bounds.budget_window_s", "10"),
                Map.entry("bounds.lease_ms", "3000"),
                Map.entry("bounds.version_ms", "8000"),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("limits.memory_mb", Integer.toString(platform.megabytes())),
                Map.entry("limits.max_fds", "4100"));
        // All routers have one address on loopback, so the ports that a deployment has in common differ here.
        String template = Files.readString(Path.of("deploy/router.yaml"))
                .replace("{{ip}}:{{port_range.0}}", "127.0.0.1:" + ports.get(2))
                .replace("{{ip}}:9464", "127.0.0.1:" + ports.get(3))
                .replace("secret: \"{{platform.address}}\"", "secret: \"" + platform.secret() + "\"");
        Matcher placeholders = PLACEHOLDER.matcher(template);
        Files.writeString(
                settings, placeholders.replaceAll(match -> fields.getOrDefault(match.group(1), "")));
        command = List.of(deployValue("run").split(" "));
    }

    /**
     * Lets the process see the memory of a machine of the platform and one core, as it would there; the machine of a
     * test has more of both.
     */
    void showMachine(int megabytes) {
        virtualMachineOptions = "-XX:MaxRAM=" + megabytes + "m -XX:ActiveProcessorCount=1";
    }

    private static String deployValue(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith(key + " = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/system.toml has no " + key);
    }

    private List<Integer> freePorts(int count) throws IOException {
        List<Integer> free = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            reserved.add(socket);
            free.add(socket.getLocalPort());
        }
        return free;
    }

    int port() {
        return ports.get(0);
    }

    String peersAddress() {
        return "127.0.0.1:" + ports.get(2);
    }

    int readinessPort() {
        return ports.get(1);
    }

    Process process() {
        return process;
    }

    Path log() {
        return directory.resolve(name + ".log");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("FUCHSIATRAIL_NODE_FILE", settings.toString());
        if (!virtualMachineOptions.isEmpty()) {
            builder.environment().put("JDK_JAVA_OPTIONS", virtualMachineOptions);
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    void awaitReady() throws IOException, InterruptedException {
        for (int attempt = 0; attempt < 300; attempt++) {
            Wire.Reply reply = Wire.call(
                    readinessPort(), "GET", "/readiness", Wire.headers("Host", "ready"), new byte[0], 1_000);
            if (reply.status() == 200) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException(name + " is not ready");
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
