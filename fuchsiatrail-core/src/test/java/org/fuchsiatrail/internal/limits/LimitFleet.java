package org.fuchsiatrail.internal.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.LimitTolerance;

/** Routers on virtual time that tell each other the use of one customer along a tree of three children a router. */
final class LimitFleet {

    static final CustomerId CUSTOMER = new CustomerId("huaman");
    static final long TICK_MILLIS = 20;

    private static final int DOMAINS = 3;
    private static final int CHILDREN = 3;
    private static final long HEARTBEAT_MILLIS = 300;
    private static final long DOWNWARD_MILLIS = 450;
    private static final long RESTART_MILLIS = 1_000;

    final SplittableRandom random;
    final List<Router> routers = new ArrayList<>();
    /** Failure domains, and positions of single routers, that exchange no messages with others. */
    final Set<Integer> cutDomains = new HashSet<>();

    final Set<Integer> cutRouters = new HashSet<>();
    /** The positions of routers whose build knows no limits. */
    final Set<Integer> unaware = new HashSet<>();

    /** The routers that the store lists. */
    int listed;

    CustomerLimit limit;
    long now = 1_000_000;
    long asked;
    long refused;
    long admitted;
    /** The requests that were refused although a count without delay would have admitted them. */
    long refusedBelow;

    /** What such a count would admit now, and when it was computed. */
    private long allowance;

    private long allowanceAtMillis;
    /** The largest use in a window, as a fraction of what the window allows. */
    double largestPart;

    private final LimitTolerance tolerance;
    private final Deque<long[]> window = new ArrayDeque<>();
    private long windowAmount;

    /** A router of the fleet. */
    final class Router {
        final int position;
        final int domain;
        final EntryVm vm;
        CustomerLimits limits;
        long upwardAtMillis;
        long downwardAtMillis;
        long runsFromMillis;
        /** How far the clock of this router is ahead of that of others, in milliseconds. */
        final long clockOffsetMillis = random.nextLong(1_000_000);

        Router(int position) {
            this.position = position;
            this.domain = position % DOMAINS;
            this.vm = new EntryVm(
                    new EntryVmId("vm-" + position), new FailureDomain("domain-" + domain), "10.0.0.1:1", false);
            restart(0);
        }

        void restart(long delayMillis) {
            limits = new CustomerLimits(vm, tolerance, random::nextDouble);
            runsFromMillis = now + delayMillis;
            upwardAtMillis = runsFromMillis + random.nextLong(HEARTBEAT_MILLIS);
            downwardAtMillis = runsFromMillis + random.nextLong(DOWNWARD_MILLIS);
        }

        int rank() {
            return position / DOMAINS;
        }

        Optional<EntryVmId> parent() {
            return rank() == 0
                    ? Optional.empty()
                    : Optional.of(routers.get(parentPosition()).vm.id());
        }

        int parentPosition() {
            return (rank() - 1) / CHILDREN * DOMAINS + domain;
        }

        long clock() {
            return now + clockOffsetMillis;
        }

        boolean runs() {
            return now >= runsFromMillis;
        }
    }

    LimitFleet(int size, CustomerLimit limit, LimitTolerance tolerance, long seed) {
        this.random = new SplittableRandom(seed);
        this.limit = limit;
        this.tolerance = tolerance;
        this.listed = size;
        for (int position = 0; position < size; position++) {
            routers.add(new Router(position));
        }
    }

    /** Lets time pass while callers ask for an amount a second. */
    void run(long millis, long perSecond, long meanAmount) {
        for (long end = now + millis; now < end; now += TICK_MILLIS) {
            for (Router router : routers) {
                if (router.runs()) {
                    router.limits.run(!unaware.contains(router.position), listed, router.parent(), router.clock());
                    exchange(router);
                }
            }
            double expected = perSecond * (TICK_MILLIS / 1_000.0) / meanAmount;
            for (int request = poisson(expected); request > 0; request--) {
                ask(routers.get(random.nextInt(routers.size())), meanAmount / 2 + random.nextLong(meanAmount));
            }
        }
    }

    /** Sends a request of the customer to a router. */
    void ask(Router router, long amount) {
        if (!router.runs()) {
            return;
        }
        asked++;
        allowance = Math.min(limit.burst(), allowance + limit.perSecond() * (now - allowanceAtMillis) / 1_000);
        allowanceAtMillis = now;
        if (!unaware.contains(router.position)
                && router.limits.decide(CUSTOMER, limit, amount, router.clock()) instanceof LimitDecision.Refused) {
            refused++;
            refusedBelow += amount <= allowance ? 1 : 0;
            return;
        }
        allowance = Math.max(0, allowance - amount);
        admitted += amount;
        window.addLast(new long[] {now, amount});
        windowAmount += amount;
        while (window.getFirst()[0] <= now - tolerance.windowMillis()) {
            windowAmount -= window.removeFirst()[1];
        }
        largestPart = Math.max(largestPart, windowAmount / (double) tolerance.perWindow(limit));
    }

    void restartAll() {
        routers.forEach(router -> router.restart(RESTART_MILLIS));
    }

    private int poisson(double mean) {
        double limitOfProduct = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble(); product > limitOfProduct; product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private void exchange(Router router) {
        if (now >= router.upwardAtMillis) {
            router.upwardAtMillis = now + HEARTBEAT_MILLIS;
            ForwardingNewsBuilder update = update(router);
            router.limits.writeUpward(update, router.clock());
            if (router.rank() > 0) {
                send(router, routers.get(router.parentPosition()), update.build());
            } else {
                routers.stream()
                        .filter(other -> other.rank() == 0 && other != router)
                        .forEach(other -> send(router, other, update.build()));
            }
        }
        if (now >= router.downwardAtMillis) {
            router.downwardAtMillis = now + (router.rank() == 0 ? HEARTBEAT_MILLIS : DOWNWARD_MILLIS);
            ForwardingNewsBuilder update = update(router);
            router.limits.writeDownward(update, router.clock());
            int firstChild = (router.rank() * CHILDREN + 1) * DOMAINS + router.domain;
            for (int child = firstChild;
                    child < Math.min(routers.size(), firstChild + CHILDREN * DOMAINS);
                    child += DOMAINS) {
                if (send(router, routers.get(child), update.build())) {
                    routers.get(child).downwardAtMillis =
                            Math.min(routers.get(child).downwardAtMillis, now + TICK_MILLIS);
                }
            }
        }
    }

    private ForwardingNewsBuilder update(Router router) {
        ForwardingNewsBuilder update =
                PeerMessage.ForwardingNews.builder(router.vm, 1).workByChanges();
        router.limits.writeMark(update);
        return update;
    }

    private boolean send(Router from, Router to, PeerMessage.ForwardingNews update) {
        boolean cut = cutRouters.contains(from.position)
                || cutRouters.contains(to.position)
                || from.domain != to.domain && (cutDomains.contains(from.domain) || cutDomains.contains(to.domain));
        if (cut || !to.runs()) {
            return false;
        }
        to.limits.receive(from.vm.id(), update, to.clock());
        return true;
    }
}
