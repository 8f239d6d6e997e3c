import java.util.ArrayList;
import java.util.List;

/** The store comes back from a copy some seconds old; then the operator takes a key away. */
public final class OlderCopy {

    private static final int ROUTERS = 3;
    private static final int ENGINES = 6;
    private static final int SERVICES = 3;
    private static final String REVOKED_KEY = "key-of-huaman-too";
    private static final String BOTH_KEYS = "\"" + Deployment.KEY + "\",\"" + REVOKED_KEY + "\"";

    private static final long RUNNING_MILLIS = 4_000;
    private static final long AWAY_MILLIS = 1_000;

    /** From the return of the store to the next configuration. */
    private static final long CHANGE_AFTER_MILLIS = 300;

    /** config_apply_ms and, as the store has just been away, max_stretch_ms as well; longer than contact_ms. */
    private static final long BOUND_MILLIS = 2_000 + 5_000;

    private static final long JUDGED_MILLIS = 10_000;

    private OlderCopy() {}

    public static void main(String[] arguments) {
        Deployment.main(OlderCopy::run);
    }

    private static void run() throws Exception {
        Deployment deployment = new Deployment("3");
        for (int index = 0; index < ENGINES; index++) {
            new Engine(deployment, "tutors", "engine-" + index);
        }
        for (int index = 0; index < SERVICES; index++) {
            new Engine(deployment, "records", "service-" + index);
        }
        deployment.store.put(Protocol.CONFIGURATION_KEY, Deployment.configuration(7, BOTH_KEYS));
        deployment.store.put(
                "op/version/" + Deployment.MODEL, "{\"model\":\"" + Deployment.MODEL + "\",\"version\":1}");
        Object copy = deployment.store.copy();
        long copiedAtMillis = deployment.record.millis();
        List<Router> routers = new ArrayList<>();
        for (int index = 1; index <= ROUTERS; index++) {
            routers.add(deployment.router("front-" + index));
        }
        Router.startAll(routers);
        Caller callers = new Caller(deployment, routers);
        callers.start("POST", "/ask/", 100, 15_000);
        callers.start("POST", "/issue/", 100, 1_500);
        Caller revoked = new Caller(deployment, routers);
        revoked.start("GET", "/read/", 100, 1_500, REVOKED_KEY);
        Thread.sleep(RUNNING_MILLIS);

        writeConfiguration(deployment, 8, BOTH_KEYS);
        Thread.sleep(AWAY_MILLIS);
        if (deployment.trouble) {
            deployment.record.verdict("store: away at revision " + deployment.store.revision());
            deployment.store.leave();
            Thread.sleep(AWAY_MILLIS);
            deployment.store.comeBackFrom(copy, deployment.record.millis() - copiedAtMillis);
            deployment.record.verdict("store: back from a copy that is "
                    + (deployment.record.millis() - copiedAtMillis) + " ms old, at revision "
                    + deployment.store.revision());
            writeConfiguration(deployment, 8, BOTH_KEYS);
        }
        Thread.sleep(CHANGE_AFTER_MILLIS);
        writeConfiguration(deployment, 9, "\"" + Deployment.KEY + "\"");
        long acknowledgedAtMillis = deployment.record.millis();
        Thread.sleep(BOUND_MILLIS + JUDGED_MILLIS);
        callers.stop();
        revoked.stop();
        Thread.sleep(2_000);
        judge(deployment, revoked, acknowledgedAtMillis + BOUND_MILLIS);
    }

    private static void writeConfiguration(Deployment deployment, long version, String keys) {
        long revision = deployment.store.put(Protocol.CONFIGURATION_KEY, Deployment.configuration(version, keys));
        deployment.record.verdict("operator: configuration " + version + " acknowledged at revision " + revision);
    }

    private static void judge(Deployment deployment, Caller revoked, long fromMillis) {
        int sent = 0;
        int served = 0;
        for (Caller.Outcome outcome : revoked.outcomes) {
            if (outcome.sentMillis() > fromMillis) {
                sent++;
                served += outcome.status() == 200 ? 1 : 0;
            }
        }
        deployment.end(
                served > 0,
                "of " + sent + " requests with the dropped key that were sent later than " + BOUND_MILLIS
                        + " ms after configuration 9 was acknowledged, " + served + " were run");
    }
}
