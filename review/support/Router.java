import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router, started as its own process with the command of deploy/system.toml and settings from its template. */
final class Router {

    private final java.nio.file.Path root;
    private final java.nio.file.Path directory;
    private final String name;
    private final java.nio.file.Path settings;
    private final List<Integer> ports;
    private Process process;

    Router(
            java.nio.file.Path root,
            java.nio.file.Path directory,
            String name,
            String zone,
            String storeAddress,
            String secret)
            throws IOException {
        this.root = root;
        this.directory = directory;
        this.name = name;
        this.ports = freePorts(4);
        settings = directory.resolve(name + ".yaml");
        settings.toFile().deleteOnExit();
        directory.resolve(name + ".log").toFile().deleteOnExit();
        Files.writeString(
                settings,
                Files.readString(root.resolve("deploy/router.yaml"))
                        .replace("{{node_name}}", name)
                        .replace("{{zone}}", zone)
                        .replace("{{listen.front}}", "127.0.0.1:" + ports.get(0))
                        .replace("{{listen.ready}}", "127.0.0.1:" + ports.get(1))
                        .replace("{{ip}}:{{port_range.0}}", "127.0.0.1:" + ports.get(2))
                        .replace("{{ip}}:9464", "127.0.0.1:" + ports.get(3))
                        .replace("secret: \"{{platform.address}}\"", "secret: \"" + secret + "\"")
                        .replace("{{platform.address}}", storeAddress)
                        .replace("{{bounds.budget_ratio}}", "0.2")
                        .replace("{{bounds.retry_slack}}", "54")
                        .replace("{{bounds.budget_window_s}}", "10")
                        .replace("{{bounds.lease_ms}}", "3000")
                        .replace("{{bounds.version_ms}}", "8000")
                        .replace("{{bounds.quota_window_s}}", "8")
                        .replace("{{bounds.quota_over}}", "0.1")
                        .replace("{{bounds.quota_slack}}", "110000")
                        .replace("{{bounds.grace_s}}", "8"));
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> reserved = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            reserved.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            ports.add(reserved.get(index).getLocalPort());
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        return ports;
    }

    /** Starts several routers at the same moment and waits until all say that they are ready. */
    static void startAll(List<Router> routers) throws IOException, InterruptedException {
        for (Router router : routers) {
            router.launch();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
    }

    /** Starts the process and waits until it says that it is ready. */
    void start() throws IOException, InterruptedException {
        launch();
        awaitReady();
    }

    private void launch() throws IOException {
        String command = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" ")))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        directory.resolve(name + ".log").toFile()));
        builder.environment().put("FUCHSIATRAIL_NODE_FILE", settings.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private void awaitReady() throws IOException, InterruptedException {
        for (int attempt = 0; attempt < 200; attempt++) {
            if (ready()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " is not ready after 10 s: "
                + Files.readString(directory.resolve(name + ".log")));
    }

    boolean ready() {
        try (Http.Connection connection = Http.Connection.open(ports.get(1), 1_000)) {
            connection.send("GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            Http.Message answer = connection.read();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String name() {
        return name;
    }

    int frontPort() {
        return ports.get(0);
    }

    /** Sends SIGTERM to the process. */
    void terminate() {
        process.destroy();
    }

}
