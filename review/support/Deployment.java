import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A small deployment on loopback: a store with a configuration, engines, services and routers. */
final class Deployment {

    static final String MODEL = "m0";
    static final String HOST = "h.example";
    static final String KEY = "key-of-huaman";

    final java.nio.file.Path root;
    final java.nio.file.Path directory;
    final Record record;
    final Store store;
    final boolean trouble;

    private int attempts;

    Deployment(String caseNumber) throws IOException {
        root = java.nio.file.Path.of("").toAbsolutePath();
        directory = Files.createTempDirectory("review-" + caseNumber);
        directory.toFile().deleteOnExit();
        record = new Record(root.resolve("review/" + caseNumber + "/record.txt"));
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record.verdict("trouble: " + trouble);
        store = new Store(record);
    }

    /** The configuration of the deployment; further fields of routes are those that a test gives. */
    static String configuration(long version, String keys) {
        return """
            {"version":%d,"routes":[
             {"name":"read","host":"h.example","prefix":"/read/","kind":"safe","timeout_ms":800,
              "target_latency_ms":300,"priority":2,"service":"records","attempts":2,"public":false},
             {"name":"issue","host":"h.example","prefix":"/issue/","kind":"unsafe","timeout_ms":800,
              "target_latency_ms":300,"priority":2,"service":"records","attempts":1,"public":false},
             {"name":"ask","host":"h.example","prefix":"/ask/","kind":"streaming","timeout_ms":15000,
              "target_latency_ms":400,"priority":0,"service":"tutors","attempts":2,"public":false,"sticky":true,
              "resumable":true,"gap_aim_ms":400},
             {"name":"mark","host":"h.example","prefix":"/mark/","kind":"streaming","timeout_ms":5000,
              "target_latency_ms":600,"priority":1,"service":"tutors","attempts":1,"public":false,"sticky":true,
              "resumable":false,"gap_aim_ms":400}],
             "services":[{"name":"records","health_path":"/health","max_conns":100,"protocol":"h1","tls":false},
              {"name":"tutors","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,
               "engine":{"slots":64,"kv_capacity":101787,"kv_token_bytes":163840,"link_mbps":550000.0,"moves":true,
               "backups":true,"stride":4,"max_inflight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
               "models":[{"name":"m0"}]}}],
             "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"huaman","api_keys":[%s],"priority":1,"isolated":false}]}
            """.formatted(version, keys);
    }

    Router router(String name) throws IOException {
        return router(name, "lima-a", store.address());
    }

    /** A router that reaches the store at one of its views. */
    Router router(String name, String zone, String storeAddress) throws IOException {
        return new Router(root, directory, name, zone, storeAddress, store.address());
    }

    synchronized String nextAttemptId() {
        return String.format("%016x", 0x9c41d07b00000000L + ++attempts);
    }

    /** The head of a client's request, up to the empty line. */
    static String head(String method, String path, String attemptId, long deadlineMillis, String key, int bodyLength) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + attemptId + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\nKey: " + key + "\r\nContent-Length: " + bodyLength + "\r\n";
    }

    /** Ends the case with its exit status. */
    void end(boolean broken, String verdict) {
        record.verdict((broken ? "BROKEN: " : "held: ") + verdict);
        System.exit(broken ? 1 : 0);
    }

    /** Runs a case; one that cannot run ends with 2. */
    interface Body {
        void run() throws Exception;
    }

    static void main(Body body) {
        try {
            body.run();
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    static List<String> answerHeaders(Http.Message request, String... others) {
        List<String> headers = new ArrayList<>(List.of(
                "Attempt-Id: " + request.header("attempt-id"), "Engine-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"));
        headers.addAll(List.of(others));
        return headers;
    }

    static Map<String, Integer> counts(List<String> words) {
        Map<String, Integer> counts = new TreeMap<>();
        words.forEach(word -> counts.merge(word, 1, Integer::sum));
        return counts;
    }
}
