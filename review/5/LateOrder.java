import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Two orders get no answer and are carried out late, after their engines have started again under their ids. */
public final class LateOrder {

    private static final int ROUTERS = 3;
    private static final int ENGINES = 9;
    private static final long QUIET_MILLIS = 6_000;

    /** How long an order may be held back, by the page: 2 to 12 s. */
    private static final long LATEST_ORDER_MILLIS = 12_000;

    private static final long DOWN_MILLIS = 1_000;
    private static final long NO_ANSWER_MILLIS = 3_000;

    /** 1.5 x version_ms, in which the core was stable and no link disrupted. */
    private static final long STABLE_MILLIS = 12_000;

    private LateOrder() {}

    /** An engine that leaves an order unanswered when it is told to, and carries it out late. */
    private static final class LateEngine extends Engine {
        private boolean holdBack;
        private Map<String, Object> heldBack;
        private long heldBackAtMillis;

        LateEngine(Deployment deployment, String id) throws IOException {
            super(deployment, "tutors", id);
        }

        synchronized void holdBackNextOrder() {
            holdBack = true;
        }

        @Override
        void handleOrder(Map<String, Object> order, Http.Connection connection) throws IOException {
            synchronized (this) {
                if (holdBack) {
                    holdBack = false;
                    heldBack = order;
                    heldBackAtMillis = deployment.record.millis();
                    deployment.record.verdict(id + ": leaves an order unanswered, " + Json.write(order));
                }
            }
            if (heldBack == order) {
                pause(NO_ANSWER_MILLIS);
                throw new IOException("the order gets no answer");
            }
            super.handleOrder(order, connection);
        }

        void carryOutHeldBack() {
            long lateMillis = deployment.record.millis() - heldBackAtMillis;
            if (heldBack == null || lateMillis > LATEST_ORDER_MILLIS) {
                throw new IllegalStateException(id + ": no order to carry out, or " + lateMillis + " ms late");
            }
            deployment.record.verdict(id + ": an order arrives " + lateMillis + " ms late");
            carryOutLate(heldBack);
        }
    }

    public static void main(String[] arguments) {
        Deployment.main(LateOrder::run);
    }

    private static void run() throws Exception {
        Deployment deployment = new Deployment("5");
        List<LateEngine> engines = new ArrayList<>();
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new LateEngine(deployment, "engine-" + index));
        }
        deployment.store.put("op/config", Deployment.configuration(7, "\"" + Deployment.KEY + "\""));
        nameWeights(deployment, 1);
        List<Router> routers = new ArrayList<>();
        for (int index = 1; index <= ROUTERS; index++) {
            routers.add(deployment.router("front-" + index));
        }
        Router.startAll(routers);
        Caller callers = new Caller(deployment, routers);
        callers.start("POST", "/ask/", 60, 15_000);
        Thread.sleep(QUIET_MILLIS);

        List<LateEngine> late = engines.subList(0, 2);
        if (deployment.trouble) {
            late.forEach(LateEngine::holdBackNextOrder);
        }
        nameWeights(deployment, 2);
        await(engines, 2);
        nameWeights(deployment, 3);
        await(engines, 3);
        // One engine after the other, so that never more than one is down.
        for (LateEngine engine : late) {
            engine.crash();
            Thread.sleep(DOWN_MILLIS);
            engine.startAgain();
        }
        Thread.sleep(DOWN_MILLIS);
        if (deployment.trouble) {
            late.forEach(LateEngine::carryOutHeldBack);
        }
        Thread.sleep(STABLE_MILLIS + DOWN_MILLIS);
        callers.stop();
        Thread.sleep(DOWN_MILLIS);
        judge(deployment, engines, callers);
    }

    private static void nameWeights(Deployment deployment, long version) {
        deployment.store.put(
                "op/version/" + Deployment.MODEL,
                "{\"model\":\"" + Deployment.MODEL + "\",\"version\":" + version + "}");
        deployment.record.verdict("operator: weights " + version + " acknowledged");
    }

    private static void await(List<LateEngine> engines, long version) throws InterruptedException {
        for (int attempt = 0; attempt < 100; attempt++) {
            if (engines.stream().allMatch(engine -> engine.weights() == version)) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("not all engines have weights " + version + " after 10 s");
    }

    private static void judge(Deployment deployment, List<LateEngine> engines, Caller callers) {
        engines.forEach(engine -> deployment.record.verdict(Json.write(engine.summary())));
        deployment.record.verdict("answers by status: "
                + Deployment.counts(callers.outcomes.stream()
                        .map(outcome -> Integer.toString(outcome.status()))
                        .toList()));
        long older = engines.stream().filter(engine -> engine.weights() < 3).count();
        deployment.end(
                older > 1 && 10 * older > ENGINES,
                older + " of " + ENGINES + " engines have older weights " + STABLE_MILLIS
                        + " ms after the last disruption");
    }
}
