import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A new version of the configuration isolates a tenant whose prompt parts engines have cached. Shows whether requests of
 * another tenant use these parts once that version binds all routers.
 */
public final class TenantBecomesIsolated {

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** The bounds of the sheet. */
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    private static final long CONTACT_MILLIS = 3_000;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final int SUBJECTS = 12;
    private static final String[] ZONES = {"lima-a", "lima-b", "lima-c"};

    private final Record record;
    private final Store store = new Store();
    private final List<Router> routers = new ArrayList<>();
    private volatile long isolatedSince = Long.MAX_VALUE;
    private int uses;
    private int requests;

    private TenantBecomesIsolated(Record record) throws IOException {
        this.record = record;
    }

    private final class CachingEngine extends ModelEngine {
        /** The tenant whose request made each cached part, by salt, model and id. */
        private final Map<String, String> makers = new HashMap<>();

        CachingEngine(String id, String zone) throws IOException {
            super(store, id, "tutor", zone, "m1");
        }

        @Override
        void begin(Wire.Request request) {
            synchronized (TenantBecomesIsolated.this) {
                String tenant = request.header("Tenant");
                record.line("run " + request.header(Protocol.ATTEMPT_ID) + " at " + id + " for " + tenant + ", salt '"
                        + request.header(Protocol.CACHE_SALT) + "', " + request.header(Protocol.PROMPT_PREFIX));
                String[] parts = request.header(Protocol.PROMPT_PREFIX).split(",");
                boolean prefix = true;
                for (String part : parts) {
                    String key = request.header(Protocol.CACHE_SALT) + "|" + request.header("Model") + "|"
                            + part.substring(0, part.indexOf(':'));
                    String maker = makers.get(key);
                    boolean foreign = maker != null && !maker.equals(tenant);
                    boolean isolated = maker != null && (maker.equals("north") || tenant.equals("north"));
                    if (prefix && foreign && isolated && record.now() > isolatedSince + CONFIG_APPLY_MILLIS) {
                        uses++;
                        record.line("WALL: " + request.header(Protocol.ATTEMPT_ID) + " of " + tenant + " uses part " + part
                                + " that a request of " + maker + " made");
                    }
                    prefix &= maker != null;
                    makers.putIfAbsent(key, tenant);
                }
            }
        }
    }

    private void configure(int version, boolean northIsolated) {
        store.put(
                Protocol.CONFIGURATION_KEY,
                "{\"version\":" + version
                        + ",\"routes\":[{\"name\":\"ask\",\"host\":\"tutor.example\",\"prefix\":\"/ask/\","
                        + "\"kind\":\"streaming\",\"timeout_ms\":15000,\"" + Protocol.LATENCY_TARGET + "\":400,\"priority\":0,"
                        + "\"service\":\"tutor\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
                        + "\"gap_aim_ms\":400}],\"services\":[{\"name\":\"tutor\",\"health_path\":\"/health\","
                        + "\"max_conns\":360,\"engine\":{\"slots\":64,\"kv_capacity\":101787,"
                        + "\"kv_token_bytes\":163840,\"link_mbps\":550000.0,\"max_inflight\":12,"
                        + "\"models\":[{\"name\":\"m1\"}]}}],\"limits\":{\"header_bytes\":16384,"
                        + "\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                        + "{\"name\":\"north\",\"api_keys\":[\"key-of-north\"],\"priority\":1,\"isolated\":"
                        + northIsolated
                        + "},{\"name\":\"south\",\"api_keys\":[\"key-of-south\"],\"priority\":1,\"isolated\":false}]}");
        record.line("version " + version + " acknowledged, north isolated: " + northIsolated);
    }

    private boolean ask(String tenant, int subject) {
        String id = tenant + requests++;
        Router router = routers.get(subject % routers.size());
        Wire.Reply reply = Wire.call(
                router.port(),
                "POST",
                "/ask/" + subject,
                Wire.headers(
                        "Host", "tutor.example",
                        Protocol.ATTEMPT_ID, id,
                        "Model", "m1",
                        Protocol.TOKEN_COUNTS, "826,73",
                        Protocol.PROMPT_PREFIX, "5c1e" + subject + ":198,91bd" + subject + ":400,own" + id + ":228",
                        "Deadline-Ms", Integer.toString(DEADLINE_MILLIS),
                        "Key", "key-of-" + tenant),
                "prompt".getBytes(),
                DEADLINE_MILLIS);
        record.line("answer " + id + " from " + router.name + ": " + reply.status() + ", " + reply.events().size()
                + " events");
        return reply.status() == 200;
    }

    private int play(Path directory) throws IOException, InterruptedException {
        store.put("op/version/m1", "{\"model\":\"m1\",\"version\":1}");
        configure(1, !TROUBLE);
        for (int number = 0; number < ZONES.length; number++) {
            new CachingEngine("i-tutor" + number, ZONES[number]).register("v1");
            routers.add(new Router(directory, "front-" + ZONES[number], ZONES[number], store.address()));
        }
        for (Router router : routers) {
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        TimeUnit.SECONDS.sleep(4);
        boolean served = true;
        for (int subject = 0; subject < SUBJECTS; subject++) {
            served &= ask("north", subject);
        }
        if (TROUBLE) {
            configure(2, true);
        }
        isolatedSince = TROUBLE ? record.now() : 0;
        TimeUnit.MILLISECONDS.sleep(CONFIG_APPLY_MILLIS + CONTACT_MILLIS);
        for (int subject = 0; subject < SUBJECTS; subject++) {
            served &= ask("south", subject);
        }
        record.conclude("all requests served: " + served);
        record.conclude("parts of an isolated tenant used for another tenant, or the reverse: " + uses);
        return served ? uses > 0 ? 1 : 0 : 2;
    }

    public static void main(String[] arguments) throws IOException {
        Path directory = Files.createTempDirectory("tenant-isolated");
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            TenantBecomesIsolated play = new TenantBecomesIsolated(record);
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
