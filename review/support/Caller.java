import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Callers of the deployment: they send requests at an even rate, each over a connection of its own. */
final class Caller {

    /** What one attempt of a caller came to; the status is 0 without an answer. */
    record Outcome(
            String router, String attemptId, String path, long sentMillis, long endedMillis, int status, String text) {}

    private final Deployment deployment;
    private final List<Router> routers;
    final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private volatile boolean stopped;
    private int next;

    Caller(Deployment deployment, List<Router> routers) {
        this.deployment = deployment;
        this.routers = routers;
    }

    /** Sends requests of one kind until {@link #stop}. */
    void start(String method, String prefix, long intervalMillis, long deadlineMillis) {
        start(method, prefix, intervalMillis, deadlineMillis, Deployment.KEY);
    }

    /** Sends requests of one kind with a key until {@link #stop}. */
    void start(String method, String prefix, long intervalMillis, long deadlineMillis, String key) {
        Thread.startVirtualThread(() -> {
            while (!stopped) {
                Router router;
                synchronized (this) {
                    router = routers.get(next++ % routers.size());
                }
                Thread.startVirtualThread(() -> outcomes.add(call(router, method, prefix, deadlineMillis, key)));
                Engine.pause(intervalMillis);
            }
        });
    }

    void stop() {
        stopped = true;
    }

    Outcome call(Router router, String method, String prefix, long deadlineMillis, String key) {
        String attemptId = deployment.nextAttemptId();
        String path = prefix + attemptId;
        long sentMillis = deployment.record.millis();
        int status = 0;
        String text;
        String prompt = prefix.startsWith("/ask") || prefix.startsWith("/mark")
                ? "Model: " + Deployment.MODEL + "\r\n" + Protocol.TOKEN_COUNTS + ": 626,73\r\n" + Protocol.PROMPT_PREFIX
                        + ": 5c1e07a2:119,91bd3f06:79,"
                        + attemptId + ":428\r\n"
                : "";
        String body = method.equals("POST") ? "body of " + attemptId : "";
        long connectMillis = deployment.record.millis();
        try (Http.Connection connection = Http.Connection.open(router.frontPort(), (int) deadlineMillis)) {
            Thread.startVirtualThread(() -> closeAt(connection, connectMillis + deadlineMillis));
            connection.send(Deployment.head(method, path, attemptId, deadlineMillis, key, body.length()) + prompt
                    + "\r\n" + body);
            Http.Message answer = connection.read();
            status = answer == null ? 0 : answer.status();
            text = answer == null ? "closed" : answer.text();
        } catch (IOException e) {
            text = "failed: " + e.getMessage();
        }
        Outcome outcome = new Outcome(
                router.name(), attemptId, path, sentMillis, deployment.record.millis(), status, text);
        deployment.record.line("caller: " + method + " " + path + " to " + router.name() + " sent at " + sentMillis
                + (status == 0 ? " got no whole answer, " + text : " answered " + status));
        return outcome;
    }

    /** A caller waits until its deadline and closes the connection then. */
    private void closeAt(Http.Connection connection, long millis) {
        Engine.pause(Math.max(0, millis - deployment.record.millis()));
        try {
            connection.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
