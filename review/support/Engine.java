import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/** A model engine or a plain service as the users' pages describe them; it writes down what it runs. */
class Engine {

    /** How long new weights take, in milliseconds. */
    private static final long LOAD_MILLIS = 630;

    private static final int EVENTS = 12;
    private static final long EVENT_INTERVAL_MILLIS = 20;

    /** One request that began to run. */
    record Run(String attemptId, String target, String tenant, long weights, long atMillis) {}

    /** One order that arrived. */
    record Order(long atMillis, String holder, long fencingToken, long version, int status) {}

    final Deployment deployment;
    final String id;
    final String service;
    final Http.Server server;
    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Order> orders = new ConcurrentLinkedQueue<>();

    private long weights = 1;
    private long bornMillis = System.currentTimeMillis();
    private long sequence;
    private long loadingUntilMillis;
    private long loadingVersion;
    private boolean down;
    private boolean draining;
    private int running;

    Engine(Deployment deployment, String service, String id) throws IOException {
        this.deployment = deployment;
        this.service = service;
        this.id = id;
        server = new Http.Server(this::handle);
        register();
    }

    private boolean isModelEngine() {
        return service.equals("tutors");
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    synchronized long weights() {
        return weights;
    }

    synchronized void register() {
        String models = isModelEngine()
                ? ",\"stage\":\"colocated\",\"models\":[{\"name\":\"" + Deployment.MODEL + "\",\"version\":" + weights
                        + ",\"adapters\":[]}]"
                : "";
        deployment.store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
                        + "\",\"zone\":\"lima-a\",\"version\":\"v1\",\"slots\":" + (isModelEngine() ? 64 : 6)
                        + ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"cold_left_ms\":0,\"born\":"
                        + bornMillis + models + ",\"sequence\":" + sequence + "}");
    }

    /** The engine crashes: its connections are reset, and new ones are, too. */
    void crash() throws IOException {
        synchronized (this) {
            down = true;
            deployment.record.line(id + ": crashes");
        }
        server.dropConnections();
    }

    /** The engine starts again under its id, with the weights that it had, and knows nothing of before. */
    synchronized void startAgain() {
        down = false;
        bornMillis = System.currentTimeMillis();
        sequence = 0;
        loadingUntilMillis = 0;
        deployment.record.line(id + ": has started again with weights " + weights);
        register();
    }

    /** Carries out an order that arrived earlier, if its count of orders still fits. */
    synchronized void carryOutLate(Map<String, Object> order) {
        int status = accept(order);
        deployment.record.line(id + ": carries out a late order, " + Json.write(order) + ", as " + status);
    }

    void handle(Http.Message request, Http.Connection connection) throws IOException {
        synchronized (this) {
            if (down) {
                connection.reset();
                throw new IOException("the engine is down");
            }
        }
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            connection.respond(421, List.of("Instance-Id: " + id), "");
            return;
        }
        String path = request.target().split("\\?")[0];
        switch (path) {
            case "/health" -> connection.respond(200, List.of("Instance-Id: " + id), "");
            case "/report" -> connection.respond(200, List.of("Content-Type: application/json"), report());
            case "/order" -> handleOrder(Json.readObject(request.text()), connection);
            case "/kv-events" -> {
                pause(Math.min(1_000, number(request.header("wait-ms"), 0)));
                connection.respond(
                        200,
                        List.of("Content-Type: application/json"),
                        "{\"boot_epoch\":" + bornMillis + ",\"next\":1,\"lost\":false,\"events\":[]}");
            }
            case "/kv-list" ->
                connection.respond(
                        200,
                        List.of("Content-Type: application/json"),
                        "{\"boot_epoch\":" + bornMillis + ",\"next\":1,\"held\":[]}");
            default -> handleCall(request, connection);
        }
    }

    static long number(String text, long otherwise) {
        return text.isEmpty() ? otherwise : Long.parseLong(text);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized String report() {
        finishLoad();
        return "{\"stage\":\"colocated\",\"models\":[{\"name\":\"" + Deployment.MODEL + "\",\"version\":" + weights
                + ",\"adapters\":[]}],\"busy\":" + (loadingUntilMillis > 0) + ",\"sequence\":" + sequence
                + ",\"queued\":0,\"running\":" + running + ",\"kv_used\":0,\"kv_total\":101787,\"handles\":0,\"born\":"
                + bornMillis + "}";
    }

    private synchronized void finishLoad() {
        if (loadingUntilMillis > 0 && now() >= loadingUntilMillis) {
            loadingUntilMillis = 0;
            weights = loadingVersion;
            deployment.record.line(id + ": has weights " + weights);
            register();
        }
    }

    /** Takes an order; returns the status of the answer. */
    private synchronized int accept(Map<String, Object> order) {
        finishLoad();
        long version = ((Number) order.get("version")).longValue();
        Object expected = order.get("expected");
        if (loadingUntilMillis > 0 || (expected != null && ((Number) expected).longValue() != sequence)) {
            return 409;
        }
        if (version == weights) {
            return 200;
        }
        sequence++;
        loadingVersion = version;
        loadingUntilMillis = now() + LOAD_MILLIS;
        Thread.startVirtualThread(() -> {
            pause(LOAD_MILLIS + 5);
            finishLoad();
        });
        return 202;
    }

    void handleOrder(Map<String, Object> order, Http.Connection connection) throws IOException {
        int status = accept(order);
        orders.add(new Order(
                deployment.record.millis(),
                (String) order.get("holder"),
                ((Number) order.get(Protocol.FENCING_TOKEN)).longValue(),
                ((Number) order.get("version")).longValue(),
                status));
        deployment.record.line(id + ": order " + Json.write(order) + " answered " + status);
        connection.respond(status, List.of("Content-Type: application/json"), "{}");
    }

    void handleCall(Http.Message request, Http.Connection connection) throws IOException {
        if (request.header(Protocol.ATTEMPT_ID).isEmpty()) {
            connection.respond(400, List.of(Protocol.NOT_EXECUTED + ": 1"), "");
            return;
        }
        long runOn;
        synchronized (this) {
            finishLoad();
            runOn = weights;
            String wanted = request.header("expect-version");
            if (!wanted.isEmpty() && number(wanted, 0) != weights) {
                connection.respond(
                        421,
                        List.of(
                                Deployment.attemptId(request),
                                "Instance-Id: " + id,
                                Protocol.NOT_EXECUTED + ": 1",
                                Protocol.WEIGHTS + ": " + weights),
                        "");
                return;
            }
            if (loadingUntilMillis > 0) {
                connection.respond(
                        503, List.of(Deployment.attemptId(request), Protocol.NOT_EXECUTED + ": 1"), "");
                return;
            }
            running++;
        }
        try {
            runs.add(new Run(
                    request.header(Protocol.ATTEMPT_ID),
                    request.target(),
                    request.header("tenant"),
                    runOn,
                    deployment.record.millis()));
            deployment.record.line(id + ": runs " + request.header(Protocol.ATTEMPT_ID) + " " + request.target());
            run(request, connection, runOn);
        } finally {
            synchronized (this) {
                running--;
            }
        }
    }

    /** Runs a request and answers it. */
    void run(Http.Message request, Http.Connection connection, long runOn) throws IOException {
        if (!isModelEngine()) {
            pause(40 + ThreadLocalRandom.current().nextInt(40));
            connection.respond(
                    200, Deployment.answerHeaders(request, "Engine-Load: 1,0,6"), body(request.header(Protocol.ATTEMPT_ID)));
            return;
        }
        List<String> head = new ArrayList<>(Deployment.answerHeaders(
                request,
                Protocol.WEIGHTS + ": " + runOn,
                "Engine-Load: 1,0,64",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"));
        connection.send("HTTP/1.1 200 OK\r\n" + String.join("\r\n", head) + "\r\n\r\n");
        long first = number(request.header("last-event-id"), 0) + 1;
        for (long event = first; event <= EVENTS; event++) {
            pause(EVENT_INTERVAL_MILLIS);
            String text = "id: " + event + "\ndata: " + request.header(Protocol.ATTEMPT_ID) + "\n\n";
            connection.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        connection.send("0\r\n\r\n");
    }

    /** The body by which a caller tells that the answer is its own and whole. */
    static String body(String attemptId) {
        return "answer to " + attemptId + " " + ".".repeat(200);
    }

    Map<String, Object> summary() {
        Map<String, Object> summary = new LinkedHashMap<>();
        summary.put("id", id);
        summary.put("weights", weights());
        summary.put("runs", (long) runs.size());
        summary.put("orders", (long) orders.size());
        return summary;
    }
}
