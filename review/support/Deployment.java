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
        return Protocol.text("configuration.json").formatted(version, keys);
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
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + Protocol.ATTEMPT_ID + ": " + attemptId + "\r\nDeadline-Ms: "
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

    /** The header by which an answer shows which request it answers. */
    static String attemptId(Http.Message request) {
        return Protocol.ATTEMPT_ID + ": " + request.header(Protocol.ATTEMPT_ID);
    }

    static List<String> answerHeaders(Http.Message request, String... others) {
        List<String> headers = new ArrayList<>(List.of(
                attemptId(request), Protocol.SIGNATURE + ": 3e1b.07.5a2.600.0.c9f2a4d1"));
        headers.addAll(List.of(others));
        return headers;
    }

    static Map<String, Integer> counts(List<String> words) {
        Map<String, Integer> counts = new TreeMap<>();
        words.forEach(word -> counts.merge(word, 1, Integer::sum));
        return counts;
    }
}
