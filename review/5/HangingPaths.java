import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All routers of one zone are partitioned from all servers for some seconds; their connections hang. */
public final class HangingPaths {

    private static final String CUT_ZONE = "lima-a";
    private static final List<String> ZONES = List.of(CUT_ZONE, CUT_ZONE, "lima-b");
    private static final int SERVERS = 3;

    /** 10.4 calls a second, as the sheet has for `cert-issue`. */
    private static final long CALL_INTERVAL_MILLIS = 96;

    private static final long CALL_DEADLINE_MILLIS = 1_500;
    private static final long QUIET_MILLIS = 8_000;
    private static final long CUT_MILLIS = 10_000;

    /** The bound contact_ms, from which on the rule holds. */
    private static final long CONTACT_MILLIS = 3_000;

    private HangingPaths() {}

    public static void main(String[] arguments) {
        Deployment.main(HangingPaths::run);
    }

    private static void run() throws Exception {
        Deployment deployment = new Deployment("5");
        List<Engine> servers = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            servers.add(new Engine(deployment, "records", "service-" + index));
        }
        deployment.store.put(Protocol.CONFIGURATION_KEY, Deployment.configuration(7, "\"" + Deployment.KEY + "\""));
        List<Router> routers = new ArrayList<>();
        List<Path> cutPaths = new ArrayList<>();
        for (int index = 0; index < ZONES.size(); index++) {
            Map<String, String> addresses = new HashMap<>();
            for (Engine server : servers) {
                Path path = new Path(server.server.port());
                addresses.put(server.server.address(), path.address());
                if (ZONES.get(index).equals(CUT_ZONE)) {
                    cutPaths.add(path);
                }
            }
            routers.add(deployment.router(
                    "front-" + (index + 1), ZONES.get(index), deployment.store.view(addresses)));
        }
        Router.startAll(routers);
        Caller callers = new Caller(deployment, routers);
        callers.start("POST", "/issue/", CALL_INTERVAL_MILLIS, CALL_DEADLINE_MILLIS);
        Thread.sleep(QUIET_MILLIS);
        long cutAtMillis = deployment.record.millis();
        setHanging(deployment, cutPaths, true);
        Thread.sleep(CUT_MILLIS);
        long healedAtMillis = deployment.record.millis();
        setHanging(deployment, cutPaths, false);
        callers.stop();
        Thread.sleep(CONTACT_MILLIS);
        judge(deployment, callers, routers, cutAtMillis + CONTACT_MILLIS, healedAtMillis);
    }

    private static void setHanging(Deployment deployment, List<Path> paths, boolean hanging) {
        if (deployment.trouble) {
            paths.forEach(path -> path.setHanging(hanging));
            deployment.record.verdict("the paths of " + CUT_ZONE + " to all servers " + (hanging ? "hang" : "work"));
        }
    }

    private static void judge(
            Deployment deployment, Caller callers, List<Router> routers, long fromMillis, long untilMillis) {
        int[] sent = new int[2];
        int[] served = new int[2];
        for (int index = 0; index < routers.size(); index++) {
            String name = routers.get(index).name();
            List<Caller.Outcome> outcomes = callers.outcomes.stream()
                    .filter(outcome -> outcome.router().equals(name))
                    .filter(outcome -> outcome.sentMillis() > fromMillis && outcome.sentMillis() < untilMillis)
                    .toList();
            int group = ZONES.get(index).equals(CUT_ZONE) ? 0 : 1;
            sent[group] += outcomes.size();
            served[group] += (int) outcomes.stream()
                    .filter(outcome -> outcome.status() == 200)
                    .count();
            deployment.record.verdict(name + " in " + ZONES.get(index) + ": first tries by status "
                    + Deployment.counts(outcomes.stream()
                            .map(outcome -> Integer.toString(outcome.status()))
                            .toList()));
        }
        int failed = sent[0] - served[0];
        boolean fewer = 3L * served[0] * sent[1] < 2L * served[1] * sent[0];
        boolean many = failed > 10 + (sent[0] + sent[1]) / 50;
        deployment.end(
                fewer && many,
                served[0] + " of " + sent[0] + " first tries were served at the routers that are cut off, " + served[1]
                        + " of " + sent[1] + " at the other");
    }
}
