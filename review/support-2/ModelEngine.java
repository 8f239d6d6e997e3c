import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A model engine: tells its state and its cache, and answers requests with streams of events. */
class ModelEngine implements AutoCloseable {

    final String id;
    final String service;
    final String zone;
    final String model;
    private final Store store;
    private final Wire.Server server = new Wire.Server(this::handle);

    ModelEngine(Store store, String id, String service, String zone, String model) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.model = model;
    }

    String address() {
        return server.address();
    }

    Wire.Server server() {
        return server;
    }

    private String models() {
        return "\"models\":[{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}]";
    }

    void register(String softwareVersion) {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"" + softwareVersion
                        + "\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\"," + models()
                        + ",\"sequence\":0,\"born\":" + System.currentTimeMillis() + "}");
    }

    private void handle(Wire.Request request, Wire.Connection connection) throws IOException, InterruptedException {
        switch (request.path()) {
            case "/report" ->
                connection.answer(
                        200,
                        Wire.headers("Content-Type", "application/json"),
                        "{\"stage\":\"colocated\"," + models()
                                + ",\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kv_used\":0,"
                                + "\"kv_total\":90000,\"handles\":0}");
            case "/kv-events" -> {
                TimeUnit.MILLISECONDS.sleep(Math.min(1_000, Long.parseLong(request.headers().getOrDefault("Wait-Ms", "0"))));
                connection.answer(
                        200,
                        Wire.headers("Content-Type", "application/json"),
                        "{\"boot_epoch\":77,\"next\":1,\"lost\":false,\"events\":[]}");
            }
            case "/kv-list" ->
                connection.answer(
                        200,
                        Wire.headers("Content-Type", "application/json"),
                        "{\"boot_epoch\":77,\"next\":1,\"held\":[]}");
            case "/health" -> connection.answer(200, Wire.headers("Instance-Id", id), "");
            default -> run(request, connection);
        }
    }

    private void run(Wire.Request request, Wire.Connection connection) throws IOException, InterruptedException {
        String expected = request.header(Protocol.EXPECTED_ENGINE);
        String attempt = request.header(Protocol.ATTEMPT_ID);
        if (!expected.isEmpty() && !expected.equals(id)) {
            connection.answer(421, Wire.headers(Protocol.ATTEMPT_ID, attempt, "Instance-Id", id), "");
            return;
        }
        begin(request);
        stream(request, connection);
    }

    /** Called when a request begins to run. */
    void begin(Wire.Request request) {}

    /** Answers with three events. */
    void stream(Wire.Request request, Wire.Connection connection) throws IOException, InterruptedException {
        beginStream(request, connection);
        for (int number = 1; number <= 3; number++) {
            TimeUnit.MILLISECONDS.sleep(20);
            event(connection, number, "token" + number);
        }
        connection.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    void beginStream(Wire.Request request, Wire.Connection connection) throws IOException {
        Map<String, String> headers = Wire.headers(
                Protocol.ATTEMPT_ID, request.header(Protocol.ATTEMPT_ID),
                Protocol.SIGNATURE, id + "." + request.header(Protocol.ATTEMPT_ID),
                Protocol.WEIGHTS, "1",
                "Content-Type", "text/event-stream",
                "Transfer-Encoding", "chunked");
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        connection.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    static void event(Wire.Connection connection, int number, String data) throws IOException {
        String event = "id: " + number + "\ndata: " + data + "\n\n";
        connection.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
