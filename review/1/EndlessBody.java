import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One answer of one engine goes on without end: after its head come line breaks until the caller closes. */
public final class EndlessBody {

    private static final int ROUTERS = 3;
    private static final int ENGINES = 6;
    private static final int SERVICES = 3;
    private static final long QUIET_MILLIS = 8_000;
    private static final long AFTER_MILLIS = 12_000;
    private static final long CALL_DEADLINE_MILLIS = 1_500;

    /** The timeout_ms of the routes of the two plain kinds of request. */
    private static final long CALL_TIMEOUT_MILLIS = 800;

    /** How long after its route's timeout a request may still be unanswered, by the rule. */
    private static final long TOLERANCE_MILLIS = 500;

    /** The fewest requests without an answer that the rule counts. */
    private static final int LEAST_UNANSWERED = 8;

    /** The bytes a second that the engine sends at most; a machine's link carries 125 million. */
    private static final long BYTES_PER_SECOND = 10_000_000;

    private static final byte[] LINE_BREAKS = "\n".repeat(4_000).getBytes();

    private EndlessBody() {}

    /** An engine that spoils the next answer when it is told to. */
    private static final class SpoiltEngine extends Engine {
        private final AtomicInteger answersToSpoil;

        SpoiltEngine(Deployment deployment, String id, AtomicInteger answersToSpoil) throws IOException {
            super(deployment, "tutors", id);
            this.answersToSpoil = answersToSpoil;
        }

        @Override
        void run(Http.Message request, Http.Connection connection, long runOn) throws IOException {
            boolean spoil = request.target().startsWith("/mark/")
                    && answersToSpoil.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
            if (!spoil) {
                super.run(request, connection, runOn);
                return;
            }
            deployment.record.verdict(id + ": the answer to " + request.header(Protocol.ATTEMPT_ID) + " goes on without end");
            connection.send("HTTP/1.1 200 OK\r\n"
                    + String.join(
                            "\r\n",
                            Deployment.answerHeaders(
                                    request, Protocol.WEIGHTS + ": " + runOn, "Content-Type: text/event-stream"))
                    + "\r\n\r\n");
            long startNanos = System.nanoTime();
            long sentBytes = 0;
            try {
                while (true) {
                    connection.send(LINE_BREAKS);
                    sentBytes += LINE_BREAKS.length;
                    long dueNanos = startNanos + sentBytes * 1_000_000_000L / BYTES_PER_SECOND;
                    pause(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
                }
            } finally {
                deployment.record.verdict(id + ": the connection was closed after "
                        + (System.nanoTime() - startNanos) / 1_000_000 + " ms and " + sentBytes + " bytes");
            }
        }
    }

    public static void main(String[] arguments) {
        Deployment.main(EndlessBody::run);
    }

    private static void run() throws Exception {
        Deployment deployment = new Deployment("1");
        AtomicInteger answersToSpoil = new AtomicInteger();
        for (int index = 0; index < ENGINES; index++) {
            new SpoiltEngine(deployment, "engine-" + index, answersToSpoil);
        }
        for (int index = 0; index < SERVICES; index++) {
            new Engine(deployment, "records", "service-" + index);
        }
        deployment.store.put(Protocol.CONFIGURATION_KEY, Deployment.configuration(7, "\"" + Deployment.KEY + "\""));
        deployment.store.put("op/version/" + Deployment.MODEL, "{\"model\":\"" + Deployment.MODEL + "\",\"version\":1}");
        List<Router> routers = new ArrayList<>();
        for (int index = 1; index <= ROUTERS; index++) {
            routers.add(deployment.router("front-" + index));
        }
        Router.startAll(routers);
        Caller callers = new Caller(deployment, routers);
        callers.start("POST", "/ask/", 100, 15_000);
        callers.start("POST", "/mark/", 250, 5_000);
        callers.start("POST", "/issue/", 100, CALL_DEADLINE_MILLIS);
        callers.start("GET", "/read/", 200, CALL_DEADLINE_MILLIS);
        Thread.sleep(QUIET_MILLIS);
        answersToSpoil.set(deployment.trouble ? 1 : 0);
        Thread.sleep(AFTER_MILLIS);
        callers.stop();
        Thread.sleep(CALL_DEADLINE_MILLIS + TOLERANCE_MILLIS);
        judge(deployment, callers, routers);
    }

    /** Requests unanswered at their route's timeout, and those of them without an answer half a second later. */
    private static void judge(Deployment deployment, Caller callers, List<Router> routers) {
        int unanswered = 0;
        int stillUnanswered = 0;
        for (Router router : routers) {
            int lateHere = 0;
            int openHere = 0;
            for (Caller.Outcome outcome : callers.outcomes) {
                boolean call = outcome.path().startsWith("/issue/") || outcome.path().startsWith("/read/");
                long millis = outcome.status() == 0 ? Long.MAX_VALUE : outcome.endedMillis() - outcome.sentMillis();
                if (call && outcome.router().equals(router.name()) && millis > CALL_TIMEOUT_MILLIS) {
                    lateHere++;
                    openHere += millis > CALL_TIMEOUT_MILLIS + TOLERANCE_MILLIS ? 1 : 0;
                }
            }
            deployment.record.verdict(router.name() + ": " + lateHere + " calls unanswered at the timeout of their route, "
                    + openHere + " of them half a second later");
            unanswered += lateHere;
            stillUnanswered += openHere;
        }
        deployment.end(
                stillUnanswered >= LEAST_UNANSWERED && 2 * stillUnanswered > unanswered,
                "of " + unanswered + " calls that were unanswered at their route's timeout_ms " + stillUnanswered
                        + " had no answer half a second later");
    }
}
