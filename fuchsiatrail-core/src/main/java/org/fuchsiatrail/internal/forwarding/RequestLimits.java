package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Keeps all routers together within the request limit that an upstream names in its answers.
 *
 * <p>Load pattern: every router sends its usual share to an upstream in need, and none sees the sum. Routers therefore
 * send each other the limits that they observe, and a few of them, selected by rendezvous hash among the members,
 * receive an equal share of the limit; the others send nothing. A router without requests for the upstream leaves its
 * share unused, so the number of sharing routers is as large as their bursts allow.
 */
final class RequestLimits {

    /**
     * The number of routers that share a limit beyond one for each request a second. Each may send one request in a
     * burst, so that in 4 s an upstream receives at most five times its limit and this number of requests.
     */
    private static final int SHARING_ROUTERS = 3;

    /** Interval at which an unchanged limit is reported to peers, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 5_000;

    /** How long a limit applies without another report, in milliseconds; six reports. */
    private static final long VALIDITY_MILLIS = 30_000;

    /** The least share of a router, in requests a second; it keeps asking an upstream that accepts none. */
    private static final double MINIMUM_SHARE = 0.1;

    /** Interval at which the sharing routers are selected again, in milliseconds. */
    private static final long SELECTION_INTERVAL_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final Map<UpstreamId, Limit> limits = new HashMap<>();
    private List<PeerMessage.NamedLimit> unsentReports = new ArrayList<>();
    private long nextExpiryAtMillis;

    private static final class Limit {
        private OptionalDouble requestsPerSecond = OptionalDouble.empty();
        private long observedAtMillis = Long.MIN_VALUE / 2;
        private long reportedAtMillis = Long.MIN_VALUE / 2;
        private long selectedAtMillis = Long.MIN_VALUE / 2;
        /** The share of this router in requests a second; 0 when it may send none. */
        private double share;

        private double permits;
        private long permitsAtMillis;
    }

    RequestLimits(ForwardingContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Records the limit, or its absence, in an answer that an upstream sent to this router. */
    void observe(UpstreamState upstream, OptionalDouble requestsPerSecond) {
        Limit limit = limits.get(upstream.incarnationId());
        if (limit == null && requestsPerSecond.isEmpty()) {
            return;
        }
        boolean changed = apply(upstream.incarnationId(), requestsPerSecond, context.now());
        limit = limits.get(upstream.incarnationId());
        if (changed || context.now() - limit.reportedAtMillis >= REPORT_INTERVAL_MILLIS) {
            limit.reportedAtMillis = context.now();
            unsentReports.add(new PeerMessage.NamedLimit(
                    upstream.incarnationId(), requestsPerSecond.isPresent(), requestsPerSecond.orElse(0), 0));
        }
    }

    /** Applies a peer's report; returns whether other routers should receive it. */
    boolean receive(PeerMessage.NamedLimit report) {
        Limit known = limits.get(report.upstream());
        long observedAtMillis = context.now() - report.ageMillis();
        boolean stale = known != null && observedAtMillis - known.observedAtMillis < REPORT_INTERVAL_MILLIS / 2;
        boolean changed = apply(
                report.upstream(),
                report.named() ? OptionalDouble.of(report.requestsPerSecond()) : OptionalDouble.empty(),
                observedAtMillis);
        return changed || !stale;
    }

    /** Applies an observation unless a newer one is known; returns whether it changes the limit. */
    private boolean apply(UpstreamId incarnation, OptionalDouble requestsPerSecond, long observedAtMillis) {
        Limit limit = limits.computeIfAbsent(incarnation, id -> new Limit());
        if (observedAtMillis < limit.observedAtMillis) {
            return false;
        }
        limit.observedAtMillis = observedAtMillis;
        if (limit.requestsPerSecond.equals(requestsPerSecond)) {
            return false;
        }
        context.log(
                "limits",
                "Request limit of an upstream changed.",
                "upstream",
                incarnation,
                "before",
                describe(limit.requestsPerSecond),
                "requestsPerSecond",
                describe(requestsPerSecond),
                "ageMillis",
                context.now() - observedAtMillis);
        context.count("limits.changed");
        accrue(limit);
        limit.requestsPerSecond = requestsPerSecond;
        limit.selectedAtMillis = Long.MIN_VALUE / 2;
        return true;
    }

    private static Object describe(OptionalDouble limit) {
        return limit.isPresent() ? limit.getAsDouble() : "none";
    }

    /** Returns whether this router may send a request to an upstream now. */
    boolean permits(UpstreamState upstream) {
        return millisUntilPermitted(upstream) == 0;
    }

    /** Returns how long this router must wait until it may send to an upstream, in milliseconds, or 0. */
    long millisUntilPermitted(UpstreamState upstream) {
        Limit limit = limits.get(upstream.incarnationId());
        if (limit == null || limit.requestsPerSecond.isEmpty()) {
            return 0;
        }
        updateShare(upstream.incarnationId(), limit);
        accrue(limit);
        if (limit.permits >= 1) {
            return 0;
        }
        return limit.share == 0
                ? Long.MAX_VALUE
                : (long) Math.ceil((1 - limit.permits) * MILLIS_PER_SECOND / limit.share);
    }

    /** Uses a permit for a request that is sent to an upstream. */
    void recordSend(UpstreamState upstream) {
        Limit limit = limits.get(upstream.incarnationId());
        if (limit != null) {
            limit.permits = Math.max(0, limit.permits - 1);
        }
    }

    private void accrue(Limit limit) {
        double elapsedSeconds = (context.now() - limit.permitsAtMillis) / MILLIS_PER_SECOND;
        limit.permits = Math.min(1, limit.permits + elapsedSeconds * limit.share);
        limit.permitsAtMillis = context.now();
    }

    private void updateShare(UpstreamId incarnation, Limit limit) {
        if (context.now() - limit.selectedAtMillis < SELECTION_INTERVAL_MILLIS) {
            return;
        }
        accrue(limit);
        limit.selectedAtMillis = context.now();
        List<EntryVmId> members = replica.members().stream()
                .map(StoreItemContent.Member::vm)
                .map(vm -> vm.id())
                .toList();
        double requestsPerSecond = limit.requestsPerSecond.orElseThrow();
        int sharing = (int) Math.clamp((long) requestsPerSecond + SHARING_ROUTERS, 1, Math.max(1, members.size()));
        boolean selected = members.isEmpty()
                || Rendezvous.ranked(incarnation.value(), members, EntryVmId::value)
                        .subList(0, sharing)
                        .contains(context.settings().self().id());
        limit.share = selected ? Math.max(MINIMUM_SHARE, requestsPerSecond / sharing) : 0;
    }

    /** Removes and returns the reports that have not been sent to peers yet. */
    List<PeerMessage.NamedLimit> drainUnsent() {
        List<PeerMessage.NamedLimit> drained = unsentReports;
        unsentReports = new ArrayList<>();
        return drained;
    }

    boolean hasUnsent() {
        return !unsentReports.isEmpty();
    }

    void run() {
        if (context.now() >= nextExpiryAtMillis) {
            nextExpiryAtMillis = context.now() + SELECTION_INTERVAL_MILLIS;
            limits.values().removeIf(limit -> context.now() - limit.observedAtMillis > VALIDITY_MILLIS);
        }
    }
}
