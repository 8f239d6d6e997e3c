import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections between routers go silent for good. Later the engines of a service are replaced by ones of a newer
 * software version, one router is killed, and its clients take their streams up at the others. Shows whether these go on.
 */
public final class SilentLinks {

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** The bounds of the sheet. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final int DEADLINE_MILLIS = 15_000;
    private static final String[] ZONES = {"lima-a", "lima-b", "lima-c"};
    private static final int ENGINES = 6;
    private static final long REPLACEMENT_MILLIS = 1_000;
    /** A release replaces half of the engines, and there are two. */
    private static final int REPLACED_AT_ONCE = 3;

    private static final long BETWEEN_RELEASES_MILLIS = 3_000;
    /** How long the routers run before anything happens. */
    private static final long CALM_MILLIS = 15_000;

    private static final int EVENTS = 40;
    private static final long EVENT_MILLIS = 100;
    private static final int STREAMS = 30;
    /** How often a client takes a stream up, each time at the other router. */
    private static final int TAKE_UPS = 3;

    /** The rule wants this many. */
    private static final int LEAST_TAKEN_UP = 12;

    private final Record record;
    private final Store store = new Store();
    private final List<Router> routers = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger wentOn = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();

    private SilentLinks(Record record) throws IOException {
        this.record = record;
    }

    private final class TutorEngine extends ModelEngine {

        TutorEngine(String id, String zone) throws IOException {
            super(store, id, "tutor", zone, "m1");
        }

        @Override
        void begin(Wire.Request request) {
            record.line("run " + request.header(Protocol.ATTEMPT_ID) + " at " + id + ", Last-Event-Id '"
                    + request.header("Last-Event-Id") + "'");
        }

        @Override
        void stream(Wire.Request request, Wire.Connection connection) throws IOException, InterruptedException {
            beginStream(request, connection);
            String last = request.header("Last-Event-Id");
            for (int number = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; number <= EVENTS; number++) {
                TimeUnit.MILLISECONDS.sleep(EVENT_MILLIS);
                event(connection, number, "token" + number);
            }
            connection.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private void configure() {
        store.put(
                Protocol.CONFIGURATION_KEY,
                "{\"version\":1,\"routes\":[{\"name\":\"ask\",\"host\":\"tutor.example\",\"prefix\":\"/ask/\","
                        + "\"kind\":\"streaming\",\"timeout_ms\":15000,\"" + Protocol.LATENCY_TARGET + "\":400,\"priority\":0,"
                        + "\"service\":\"tutor\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
                        + "\"gap_aim_ms\":400}],\"services\":[{\"name\":\"tutor\",\"health_path\":\"/health\","
                        + "\"max_conns\":360,\"engine\":{\"slots\":64,\"kv_capacity\":101787,"
                        + "\"kv_token_bytes\":163840,\"link_mbps\":550000.0,\"max_inflight\":12,"
                        + "\"models\":[{\"name\":\"m1\"}]}}],\"limits\":{\"header_bytes\":16384,"
                        + "\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                        + "{\"name\":\"crew\",\"api_keys\":[\"key-of-crew\"],\"priority\":1,\"isolated\":false}]}");
    }

    private Wire.Reply ask(Router router, int subject, String id, Map<String, String> more, int deadlineMillis) {
        Map<String, String> headers = Wire.headers(
                "Host", "tutor.example",
                Protocol.ATTEMPT_ID, id,
                "Model", "m1",
                Protocol.TOKEN_COUNTS, "826,73",
                Protocol.PROMPT_PREFIX, "5c1e" + subject % 5 + ":198,91bd" + subject + ":628",
                "Deadline-Ms", Integer.toString(deadlineMillis),
                "Key", "key-of-crew");
        headers.putAll(more);
        Wire.Reply reply =
                Wire.call(router.port(), "POST", "/ask/" + subject, headers, "prompt".getBytes(), deadlineMillis);
        record.line("answer " + id + " from " + router.name + ": " + reply.status() + ", " + reply.events().size()
                + " events after " + reply.millis() + " ms " + (reply.status() == 200 ? "" : reply.body().strip()));
        return reply;
    }

    /** Asks for a stream at the router that is killed, and takes it up at another one. */
    private void askAndTakeUp(int number) {
        String id = "stream" + number;
        long beganAt = record.now();
        Wire.Reply first = ask(routers.get(0), number, id, Map.of(), DEADLINE_MILLIS);
        if (first.status() != 0 || first.events().isEmpty()) {
            return;
        }
        String last = String.valueOf(first.events().size());
        takenUp.incrementAndGet();
        boolean goesOn = false;
        for (int attempt = 0; attempt < TAKE_UPS && !goesOn; attempt++) {
            Router other = routers.get(1 + (number + attempt) % (routers.size() - 1));
            int left = (int) (DEADLINE_MILLIS - (record.now() - beganAt));
            Wire.Reply reply = ask(
                    other, number, id + "again" + attempt, Wire.headers("Last-Event-Id", last, "Resumes", id), left);
            goesOn = reply.status() == 200
                    && !reply.events().isEmpty()
                    && reply.events().getFirst().startsWith("id: " + (first.events().size() + 1) + "\n");
            if (!goesOn) {
                pause(reply);
            }
        }
        wentOn.addAndGet(goesOn ? 1 : 0);
    }

    /** Waits as long as the answer says. */
    private static void pause(Wire.Reply reply) {
        try {
            double seconds = Double.parseDouble(reply.headers().getOrDefault("Retry-After", "0.3"));
            TimeUnit.MILLISECONDS.sleep((long) Math.min(2_000, seconds * 1_000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void askAnew(int number) {
        asked.incrementAndGet();
        Router router = routers.get(1 + number % (routers.size() - 1));
        Wire.Reply reply = ask(router, 1_000 + number, "new" + number, Map.of(), DEADLINE_MILLIS);
        begun.addAndGet(reply.status() == 200 && !reply.events().isEmpty() ? 1 : 0);
    }

    /** Starts routers between which each path is a link of its own. */
    private void startRouters(Path directory) throws IOException, InterruptedException {
        List<Map<String, String>> shown = new ArrayList<>();
        for (int number = 0; number < ZONES.length; number++) {
            shown.add(new HashMap<>());
            String view = store.view(shown.get(number));
            routers.add(new Router(
                    directory,
                    "front-" + ZONES[number],
                    ZONES[number],
                    new Router.Platform(view, store.address(), 280)));
        }
        for (int from = 0; from < routers.size(); from++) {
            for (int to = 0; to < routers.size(); to++) {
                if (from != to) {
                    Link link = new Link(routers.get(to).peersAddress());
                    links.add(link);
                    shown.get(from).put(routers.get(to).peersAddress(), link.address());
                }
            }
        }
        for (Router router : routers) {
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
    }

    /** Replaces the engines one after the other; the new one starts first, and the old one goes on for a while. */
    private void release() throws IOException, InterruptedException {
        for (int number = 0; number < ENGINES; number++) {
            if (number == REPLACED_AT_ONCE) {
                TimeUnit.MILLISECONDS.sleep(BETWEEN_RELEASES_MILLIS);
            }
            String id = "i-tutor" + (ENGINES + number);
            new TutorEngine(id, ZONES[number % ZONES.length]).register("v2");
            TimeUnit.MILLISECONDS.sleep(REPLACEMENT_MILLIS / 2);
            store.remove("servers/i-tutor" + number);
            record.line("i-tutor" + number + " of version v1 is replaced by " + id + " of version v2");
            TimeUnit.MILLISECONDS.sleep(REPLACEMENT_MILLIS / 2);
        }
    }

    private int play(Path directory) throws IOException, InterruptedException {
        store.put("op/version/m1", "{\"model\":\"m1\",\"version\":1}");
        configure();
        for (int number = 0; number < ENGINES; number++) {
            new TutorEngine("i-tutor" + number, ZONES[number % ZONES.length]).register("v1");
        }
        startRouters(directory);
        TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
        if (TROUBLE) {
            int silenced = 0;
            for (Link link : links) {
                silenced += link.silenceOpenConnections();
            }
            record.conclude(silenced + " open connections between the routers go silent");
        }
        TimeUnit.MILLISECONDS.sleep(2 * CONTACT_MILLIS);
        release();
        TimeUnit.MILLISECONDS.sleep(2 * CONTACT_MILLIS);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            int client = number;
            clients.add(Thread.ofVirtual().start(() -> askAndTakeUp(client)));
            TimeUnit.MILLISECONDS.sleep(30);
        }
        TimeUnit.MILLISECONDS.sleep(1_500);
        record.line(routers.get(0).name + " is killed");
        routers.get(0).signal("KILL");
        for (int number = 0; number < STREAMS; number++) {
            int client = number;
            clients.add(Thread.ofVirtual().start(() -> askAnew(client)));
            TimeUnit.MILLISECONDS.sleep(30);
        }
        for (Thread client : clients) {
            client.join();
        }
        int working = 0;
        for (Link link : links) {
            working += link.working();
        }
        record.line(working + " connections on the paths between routers are open and not silent");
        record.conclude("streams taken up at machines in touch: " + takenUp + ", went on: " + wentOn);
        record.conclude("new streams there: " + asked + ", begun: " + begun);
        if (takenUp.get() < LEAST_TAKEN_UP || asked.get() == 0) {
            return 2;
        }
        double shareOn = wentOn.get() / (double) takenUp.get();
        double shareBegun = begun.get() / (double) asked.get();
        return shareOn < shareBegun / 2 ? 1 : 0;
    }

    public static void main(String[] arguments) throws IOException {
        Path directory = Files.createTempDirectory("silent-links");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            SilentLinks play = new SilentLinks(record);
            try {
                result = play.play(directory);
            } catch (IOException | InterruptedException | RuntimeException e) {
                record.conclude("could not run: " + e);
            } finally {
                play.routers.forEach(Router::close);
            }
        }
        System.exit(result);
    }
}
