package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.UpstreamEntry;

/**
 * Selects another router for a request that this router cannot send to any upstream itself.
 *
 * <p>Load pattern: the paths of some routers to all upstreams are cut, while callers and the other routers still reach
 * them. A router that reaches no upstream either says so, and receives nothing until its backoff ends, so that requests
 * find the routers with paths after a few attempts.
 */
final class RelayRouters {

    /** How long after the last timeout a request tries the lost paths to other routers again, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** More than the requests that are relayed to one router at a time. */
    private static final double AVOIDED_ROUTER_COST = 1e9;

    static final int FIRST_ERROR_STATUS = 400;

    /** The HTTP statuses that promise callers that the request has not run. */
    static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** The HTTP statuses of a router that has no route or customer for a request. */
    static final Set<Integer> OTHER_CONFIGURATION_STATUSES = Set.of(401, 404);

    private static final String ID_PREFIX = "router/";

    /** The start of every router, since one that restarted is used as before. */
    private static final long STARTED_AT_MILLIS = 0;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final Map<EntryVmId, UpstreamState> routers = new HashMap<>();

    /**
     * A router to which a request may be relayed.
     *
     * @param router the router
     * @param boundsAttempts whether it keeps to what it is allowed; an older build runs as many attempts as the route
     *     allows
     */
    record Relay(UpstreamState router, boolean boundsAttempts) {}

    private long lastTrialAtMillis = Long.MIN_VALUE / 2;

    RelayRouters(ForwardingContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /**
     * Selects a usable router that was not tried yet, with the fewest relayed requests and at random among these. While
     * the paths to all other routers are lost, single requests try them.
     */
    Optional<Relay> select(PendingCall pending) {
        List<StoreItemContent.Member> members = replica.members().stream()
                .filter(member -> !member.callerAddress().isEmpty())
                .filter(member ->
                        !member.vm().id().equals(context.settings().self().id()))
                .toList();
        Set<EntryVmId> known = members.stream().map(member -> member.vm().id()).collect(Collectors.toSet());
        routers.entrySet()
                .removeIf(router -> !known.contains(router.getKey())
                        && router.getValue().inFlight.isEmpty());
        pending.routersLost = ConnectionHistory.areLost(
                routers.values(), context.settings().self().failureDomain());
        if (pending.routersLost && !mayTry()) {
            return Optional.empty();
        }
        Relay best = null;
        double bestCost = Double.MAX_VALUE;
        for (StoreItemContent.Member member : members) {
            UpstreamState router = state(member);
            double cost = router.inFlight.size()
                    + context.random().nextDouble()
                    + (pending.avoidedRouters.contains(router.id()) ? AVOIDED_ROUTER_COST : 0);
            boolean usable = !router.isSuspected(context.now())
                    && !pending.excludedUpstreams.contains(router.id())
                    && (member.boundsRelayedAttempts() || !pending.mayHaveRun());
            if (usable && cost < bestCost) {
                best = new Relay(router, member.boundsRelayedAttempts());
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean mayTry() {
        long lastAtMillis = Math.max(lastTrialAtMillis, ConnectionHistory.lastTimeoutAtMillis(routers.values()));
        boolean due = context.now() - lastAtMillis >= RETRY_MILLIS;
        lastTrialAtMillis = due ? context.now() : lastTrialAtMillis;
        return due;
    }

    /** Returns whether an upstream to which attempts are sent is another router. */
    static boolean isRouter(UpstreamId upstream) {
        return upstream.value().startsWith(ID_PREFIX);
    }

    /** The incarnation under which attempts are sent to a router, the same after a restart. */
    static UpstreamId incarnationOf(EntryVmId router) {
        return new UpstreamId(upstreamId(router) + "@" + STARTED_AT_MILLIS);
    }

    private static UpstreamId upstreamId(EntryVmId router) {
        return new UpstreamId(ID_PREFIX + router);
    }

    private UpstreamState state(StoreItemContent.Member member) {
        UpstreamState router = routers.get(member.vm().id());
        if (router == null || !router.entry.address().equals(member.callerAddress())) {
            router = new UpstreamState(new UpstreamEntry(
                    upstreamId(member.vm().id()),
                    STARTED_AT_MILLIS,
                    "",
                    member.callerAddress(),
                    member.vm().failureDomain(),
                    1,
                    false,
                    "",
                    Map.of()));
            routers.put(member.vm().id(), router);
        }
        return router;
    }
}
