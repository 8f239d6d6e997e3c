package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.StoreItemContent;

/**
 * Decides whether an upstream to which this router cannot connect has ended.
 *
 * <p>Load pattern: the link of one router is full or cut, and its connections to most upstreams time out, while the
 * upstreams live and serve the other routers. A timeout shows the end of an upstream only if this router reaches others
 * meanwhile, few other connections timed out at about the same time, and none of these destinations was reached again.
 * Otherwise another router or the platform's store must show it. A refused connection shows it alone, since the machine
 * has answered.
 */
final class SuspectedEnds {

    /** How close timeouts of connections are in time that have a common cause, in milliseconds. */
    private static final long COMMON_CAUSE_MILLIS = 2_000;

    /**
     * The most other destinations that may time out at about the same time; engines crash one after the other when a
     * request is sent on.
     */
    private static final int OTHER_TIMEOUTS = 2;

    /** How long a destination that was reached after a timeout tells that timeouts show no ends, in milliseconds. */
    private static final long UNSTEADY_MILLIS = 5_000;

    /** The least time for other connections that began with the one that timed out to do so too, in milliseconds. */
    private static final long SETTLING_MILLIS = 300;

    /** The most other routers that must reach no upstream either for timeouts to show ends; half of few are enough. */
    private static final int CONFIRMING_ROUTERS = 2;

    /** How long a sign of an end waits for another router to confirm it, in milliseconds. */
    private static final long RETENTION_MILLIS = 15_000;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final CrashTracker tracker;
    private final CrashDetector detector;
    /** The destinations of this router's attempts and probes, as long as they tell something. */
    private final Map<UpstreamId, ConnectionHistory> destinations = new HashMap<>();

    private final Map<UpstreamId, Suspicion> suspicions = new HashMap<>();
    /** When other routers said that they reach no upstream either, since one of them last served a request. */
    private final Map<UpstreamId, Long> routersWithoutPath = new HashMap<>();

    private long nextExpiryAtMillis;

    /**
     * A connection that timed out.
     *
     * @param sentAtMillis when that was sent for which it was to be made, in milliseconds
     * @param atMillis when it timed out, in milliseconds
     * @param common whether connections to others did at about the same time
     * @param logged whether that was logged of this incarnation
     */
    private record Suspicion(long sentAtMillis, long atMillis, boolean common, boolean logged) {}

    SuspectedEnds(ForwardingContext context, StoreReplica replica, CrashTracker tracker, CrashDetector detector) {
        this.context = context;
        this.replica = replica;
        this.tracker = tracker;
        this.detector = detector;
    }

    /** Records a response of an incarnation to what was sent at a time. */
    void recordReached(UpstreamId incarnation, ConnectionHistory connections, long sentAtMillis) {
        if (!connections.recordReached(sentAtMillis)) {
            return;
        }
        destinations.put(incarnation, connections);
        Suspicion suspicion = suspicions.get(incarnation);
        if (suspicion != null && sentAtMillis >= suspicion.sentAtMillis()) {
            suspicions.remove(incarnation);
        }
    }

    /** Records that the machine of an incarnation refused a connection. */
    void recordRefused(UpstreamId incarnation) {
        suspicions.remove(incarnation);
        detector.recordEnded(incarnation);
    }

    /** Records an answer of another router, which tells whether that reaches an upstream. */
    void recordRouterAnswer(UpstreamId router, boolean withoutPath) {
        if (withoutPath) {
            routersWithoutPath.put(router, context.now());
        } else {
            routersWithoutPath.clear();
        }
    }

    /** Records that no connection to an incarnation was established in time for what was to be sent at a time. */
    void recordTimeout(UpstreamId incarnation, ConnectionHistory connections, long sentAtMillis) {
        connections.recordTimeout(sentAtMillis, context.now());
        destinations.put(incarnation, connections);
        // Probes follow one another faster than a sign settles, so the first one is judged.
        suspicions.merge(
                incarnation,
                new Suspicion(sentAtMillis, context.now(), false, false),
                (earlier, later) -> earlier.common()
                        ? new Suspicion(later.sentAtMillis(), later.atMillis(), false, true)
                        : earlier);
        context.wakeAt(context.now() + SETTLING_MILLIS);
    }

    /** Confirms the ends that are certain, and forgets what tells nothing any more. */
    void run() {
        if (!suspicions.isEmpty()) {
            List.copyOf(suspicions.keySet()).forEach(this::judge);
        }
        if (context.now() >= nextExpiryAtMillis) {
            nextExpiryAtMillis = context.now() + RETENTION_MILLIS;
            forgetExpired();
        }
    }

    private void forgetExpired() {
        routersWithoutPath.values().removeIf(this::isForgotten);
        destinations
                .values()
                .removeIf(connections ->
                        isForgotten(connections.timedOutAtMillis()) && isForgotten(connections.reachedSentAtMillis()));
    }

    /** Confirms the end of an incarnation if there is a sign of it that has become certain. */
    void judge(UpstreamId incarnation) {
        suspicions.computeIfPresent(incarnation, (key, suspicion) -> {
            boolean common = suspicion.common() || isCommon(key, suspicion);
            Suspicion judged = common && !suspicion.common() ? doubtful(key, suspicion) : suspicion;
            return confirm(key, judged) ? null : judged;
        });
    }

    private Suspicion doubtful(UpstreamId incarnation, Suspicion suspicion) {
        context.count("crashes.ends-doubted");
        if (!suspicion.logged()) {
            context.log(
                    "quarantine",
                    "Connection timeout not taken for the end of an upstream; connections to others time out too.",
                    "upstream",
                    incarnation);
        }
        return new Suspicion(suspicion.sentAtMillis(), suspicion.atMillis(), true, true);
    }

    private boolean isForgotten(long atMillis) {
        return context.now() - atMillis > RETENTION_MILLIS;
    }

    /** Returns whether a suspicion needs no further look, since the end is certain or too long ago. */
    private boolean confirm(UpstreamId incarnation, Suspicion suspicion) {
        boolean shownHere = !suspicion.common() && reachedAnotherSince(incarnation, suspicion.sentAtMillis());
        boolean ended = tracker.isEndedElsewhere(incarnation)
                || (isSettled(suspicion) && (shownHere || routersReachNothing(suspicion)));
        if (ended) {
            detector.recordEnded(incarnation);
        }
        return ended || isForgotten(suspicion.atMillis());
    }

    /** Returns whether the path of this router is the likelier cause, as connections to others time out too. */
    private boolean isCommon(UpstreamId incarnation, Suspicion suspicion) {
        int timedOut = 0;
        int reached = 0;
        for (Map.Entry<UpstreamId, ConnectionHistory> other : destinations.entrySet()) {
            ConnectionHistory connections = other.getValue();
            boolean reachedAgain = connections.reachedSentAtMillis() >= connections.timedOutSentAtMillis();
            if (reachedAgain && context.now() - connections.timedOutAtMillis() < UNSTEADY_MILLIS) {
                return true;
            }
            if (!other.getKey().equals(incarnation)) {
                boolean together = connections.timedOutAtMillis() >= suspicion.atMillis() - COMMON_CAUSE_MILLIS;
                timedOut += together ? 1 : 0;
                // Answers of other routers tell nothing of the paths to upstreams.
                reached += !together
                                && !RelayRouters.isRouter(other.getKey())
                                && connections.reachedSentAtMillis() >= suspicion.sentAtMillis()
                        ? 1
                        : 0;
            }
        }
        return timedOut > OTHER_TIMEOUTS || (timedOut > reached && isSettled(suspicion));
    }

    /**
     * Returns whether several other routers reached no upstream at the time of a suspicion, one in each other failure
     * domain among them, since the routers of one may lose their paths together.
     */
    private boolean routersReachNothing(Suspicion suspicion) {
        Set<FailureDomain> unconfirmed = new HashSet<>();
        Set<FailureDomain> confirmed = new HashSet<>();
        long withoutPath = 0;
        for (StoreItemContent.Member member : replica.members()) {
            Long atMillis = routersWithoutPath.get(
                    RelayRouters.incarnationOf(member.vm().id()));
            boolean confirms = atMillis != null && Math.abs(atMillis - suspicion.atMillis()) < COMMON_CAUSE_MILLIS;
            withoutPath += confirms ? 1 : 0;
            (confirms ? confirmed : unconfirmed).add(member.vm().failureDomain());
        }
        unconfirmed.removeAll(confirmed);
        unconfirmed.remove(context.settings().self().failureDomain());
        int others = replica.memberCount() - 1;
        return unconfirmed.isEmpty() && withoutPath >= Math.clamp(others / 2, 1, CONFIRMING_ROUTERS);
    }

    private boolean isSettled(Suspicion suspicion) {
        return context.now() - suspicion.atMillis() >= SETTLING_MILLIS;
    }

    private boolean reachedAnotherSince(UpstreamId incarnation, long sentAtMillis) {
        return destinations.entrySet().stream()
                .anyMatch(other -> !other.getKey().equals(incarnation)
                        && !RelayRouters.isRouter(other.getKey())
                        && other.getValue().reachedSentAtMillis() >= sentAtMillis);
    }
}
