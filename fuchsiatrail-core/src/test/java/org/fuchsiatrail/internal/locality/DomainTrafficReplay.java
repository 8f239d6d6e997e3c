package org.fuchsiatrail.internal.locality;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.FailureDomain;

/**
 * Replays calls of several failure domains whose 70 routers all decide on news that is a second old. The work of a
 * domain's engines is held as the time until they are free, and every engine is as fast as the others.
 */
final class DomainTrafficReplay {

    static final double LATENCY_TARGET_MILLIS = 500;
    static final long NEWS_INTERVAL_MILLIS = 1_000;

    private static final int ROUTERS = 70;
    private static final int STEP_MILLIS = 20;
    private static final double CALL_MILLIS = 10;

    final int[] engines;
    final double[] load;
    final boolean[] cutOff;
    /** By how much longer than predicted answers of another domain take. */
    double wayMillis = 2;
    /** The calls that left, all calls, those of the first domain, and those that each domain got from others. */
    long left;

    long sent;
    long sentAtFirst;
    final long[] received;
    /** The calls that were late though another domain would have answered in half of the target. */
    long needlesslyLate;
    /** How often the net flow out of the first domain changed its sign, in windows of a second. */
    int signChanges;

    double firstDomainWaitMillis;
    private final double[] waitMillis;
    private double[] toldMillis;
    private final List<DomainLeaving> routers = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(5);
    private long now = 1_000_000;
    private long flowInWindow;
    private long lastFlow;

    DomainTrafficReplay(int[] engines, double[] load) {
        this.engines = engines;
        this.load = load;
        received = new long[engines.length];
        cutOff = new boolean[engines.length];
        waitMillis = new double[engines.length];
        toldMillis = new double[engines.length];
        for (int router = 0; router < ROUTERS; router++) {
            routers.add(newRouter(router));
        }
    }

    static FailureDomain domain(int index) {
        return new FailureDomain("domain-" + index);
    }

    private int domainOf(int router) {
        return router % engines.length;
    }

    private DomainLeaving newRouter(int router) {
        return new DomainLeaving(
                domain(domainOf(router)), true, Double.POSITIVE_INFINITY, new SplittableRandom(100 + router));
    }

    /** Replaces the routers of a domain by ones that have learned nothing. */
    void restartRouters(int domain) {
        for (int router = domain; router < ROUTERS; router += engines.length) {
            routers.set(router, newRouter(router));
        }
    }

    void clearCounts() {
        left = 0;
        sent = 0;
        sentAtFirst = 0;
        Arrays.fill(received, 0);
        needlesslyLate = 0;
        signChanges = 0;
        lastFlow = 0;
    }

    void play(long millis) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            if (now % NEWS_INTERVAL_MILLIS == 0) {
                tell();
            }
            for (int router = 0; router < ROUTERS; router++) {
                int home = domainOf(router);
                double calls = load[home] * engines[home] * STEP_MILLIS / CALL_MILLIS * engines.length / ROUTERS;
                for (int call = 0; call < (int) (calls + random.nextDouble()); call++) {
                    send(router, home);
                }
            }
            for (int domain = 0; domain < engines.length; domain++) {
                waitMillis[domain] = Math.max(0, waitMillis[domain] - STEP_MILLIS);
            }
            firstDomainWaitMillis = waitMillis[0];
        }
    }

    private void tell() {
        toldMillis = waitMillis.clone();
        for (DomainLeaving router : routers) {
            for (int domain = 0; domain < engines.length; domain++) {
                if (!cutOff[domain]) {
                    router.news().heard(domain(domain), now);
                }
            }
        }
        if (Math.abs(flowInWindow) > 5) {
            signChanges += Long.signum(flowInWindow) * Long.signum(lastFlow) < 0 ? 1 : 0;
            lastFlow = flowInWindow;
        }
        flowInWindow = 0;
    }

    private void send(int router, int home) {
        DomainLeaving leaving = routers.get(router);
        DomainChoice<Integer> choice =
                leaving.choose(new DomainLeaving.Request("service", LATENCY_TARGET_MILLIS, 4_000, false, false, now));
        for (int domain = 0; domain < engines.length; domain++) {
            for (int engine = 0; engine < engines[domain] && !(cutOff[domain] && domain != home); engine++) {
                double predictedMillis = toldMillis[domain] + CALL_MILLIS;
                choice.add(domain(domain), domain, predictedMillis + random.nextDouble(2), predictedMillis, 0);
            }
        }
        Optional<Integer> chosen = choice.select();
        int domain = chosen.orElseThrow();
        sent++;
        sentAtFirst += home == 0 ? 1 : 0;
        if (domain != home) {
            left++;
            received[domain]++;
            leaving.recordLeft(now);
            flowInWindow += home == 0 ? 1 : domain == 0 ? -1 : 0;
        }
        double actualMillis = waitMillis[domain] + CALL_MILLIS + (domain == home ? 0 : wayMillis);
        leaving.ways().record(domain(domain), actualMillis, toldMillis[domain] + CALL_MILLIS, now);
        boolean inTimeElsewhere = false;
        for (int other = 0; other < engines.length; other++) {
            inTimeElsewhere |= !cutOff[other] && waitMillis[other] + wayMillis < LATENCY_TARGET_MILLIS / 2;
        }
        needlesslyLate += actualMillis > LATENCY_TARGET_MILLIS && inTimeElsewhere ? 1 : 0;
        waitMillis[domain] += CALL_MILLIS / engines[domain];
    }
}
