package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;
import org.fuchsiatrail.forwarding.VersionShares;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Sets the version shares of the services that have resumable routes. Any router may set them; the others wait longer
 * the lower they rank, so that usually one does.
 *
 * <p>Shares that are replaced stay in the store, bound to a lease, for as long as streams that began under them may be
 * resumed.
 */
final class VersionShareSystem {

    /** Interval between checks whether shares must change, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** The shortest interval between two changes, in milliseconds, unless a version has no upstream left. */
    private static final long MINIMUM_CHANGE_INTERVAL_MILLIS = 1_000;

    /** How much longer each router waits than the one that ranks before it, in milliseconds. */
    private static final long RANK_DELAY_MILLIS = 400;

    /** The longest such wait, in milliseconds. */
    private static final long MAXIMUM_RANK_DELAY_MILLIS = 4_000;

    /** The shortest interval between attempts to change the shares of a service, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 300;

    /** Timeout of a call, in milliseconds; a slow store takes 0.3 s. */
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private final StoreReplica replica;
    private final UpstreamTable upstreams;
    private final ReplacedShareCompletion completion;
    private final Map<String, Change> changes = new HashMap<>();
    private long nextCheckAtMillis;

    /** The pending or last change of the shares of a service. */
    private static final class Change {
        private long neededSinceMillis = Long.MAX_VALUE;
        private long changedAtMillis = Long.MIN_VALUE / 2;
        private long knownEpoch;
        private long retryAtMillis = Long.MIN_VALUE;
        private boolean callPending;

        private boolean mayCall(long nowMillis) {
            return !callPending && nowMillis >= retryAtMillis;
        }
    }

    VersionShareSystem(
            ForwardingContext context,
            StoreCallTable store,
            StoreReplica replica,
            UpstreamTable upstreams,
            ReplacedShareCompletion completion) {
        this.context = context;
        this.store = store;
        this.replica = replica;
        this.upstreams = upstreams;
        this.completion = completion;
    }

    /**
     * Returns the version at which a new stream begins, or empty if any version may begin it because no shares are set.
     */
    Optional<String> versionOf(String service, long stream) {
        return replica.versionShares()
                .current(service)
                .flatMap(current -> current.shares().versionOf(stream));
    }

    /** Returns whether a stream may be sent to upstreams only as version shares tell. */
    static boolean applyTo(Route route) {
        return route.kind() == RequestKind.STREAM && route.retryable();
    }

    void run() {
        completion.run();
        if (context.now() < nextCheckAtMillis || replica.routing().isEmpty()) {
            return;
        }
        nextCheckAtMillis = context.now() + CHECK_INTERVAL_MILLIS;
        if (context.stopping()) {
            return;
        }
        replica.routing().get().resumableMillisByService().keySet().forEach(this::check);
    }

    /** Routers of an older build begin streams at any version, so shares would not tell how their streams began. */
    private boolean allRoutersApplyShares() {
        List<StoreItemContent.Member> members = replica.members();
        return !members.isEmpty() && members.stream().allMatch(StoreItemContent.Member::appliesVersionShares);
    }

    private void check(String service) {
        Change change = changes.computeIfAbsent(service, key -> new Change());
        Optional<VersionShareRegistry.Current> current = replica.versionShares().current(service);
        List<VersionShares.Share> shares =
                current.map(known -> known.shares().shares()).orElse(List.of());
        long epoch = replica.versionShares().epoch(service);
        if (epoch != change.knownEpoch) {
            change.knownEpoch = epoch;
            change.changedAtMillis = context.now();
            change.neededSinceMillis = Long.MAX_VALUE;
        }
        Map<String, VersionShareDecision.Upstreams> versions = versions(service);
        Optional<List<VersionShares.Share>> next = replica.revision() > 0 && replica.hasLostShares(service)
                ? Optional.of(shares)
                : VersionShareDecision.next(shares, versions);
        if (next.isEmpty() || !allRoutersApplyShares()) {
            change.neededSinceMillis = Long.MAX_VALUE;
            return;
        }
        change.neededSinceMillis = Math.min(change.neededSinceMillis, context.now());
        context.wakeAt(nextCheckAtMillis);
        boolean early = !VersionShareDecision.isUrgent(shares, versions)
                && context.now() < change.changedAtMillis + MINIMUM_CHANGE_INTERVAL_MILLIS;
        if (change.mayCall(context.now())
                && !early
                && context.now() >= change.neededSinceMillis + rankDelayMillis(service)) {
            change(service, change, current, new VersionShares(service, epoch + 1, next.get()));
        }
    }

    private Map<String, VersionShareDecision.Upstreams> versions(String service) {
        Map<String, VersionShareDecision.Upstreams> versions = new LinkedHashMap<>();
        for (UpstreamState upstream : upstreams.activeUpstreams(service)) {
            int responsive = upstream.isSuspected(context.now()) ? 0 : 1;
            versions.merge(
                    upstream.entry.softwareVersion(),
                    new VersionShareDecision.Upstreams(1, responsive),
                    (first, second) -> new VersionShareDecision.Upstreams(
                            first.active() + second.active(), first.responsive() + second.responsive()));
        }
        return versions;
    }

    private long rankDelayMillis(String service) {
        List<String> names = new ArrayList<>();
        replica.members().forEach(member -> names.add(member.vm().id().value()));
        int rank = Rendezvous.ranked("versions/" + service, names, name -> name)
                .indexOf(context.settings().self().id().value());
        return rank < 0 ? MAXIMUM_RANK_DELAY_MILLIS : Math.min(rank * RANK_DELAY_MILLIS, MAXIMUM_RANK_DELAY_MILLIS);
    }

    private void change(
            String service, Change change, Optional<VersionShareRegistry.Current> current, VersionShares next) {
        change.callPending = true;
        store.call(new StoreCall.GrantLease(completion.retentionMillis(service)), CALL_TIMEOUT_MILLIS, reply -> {
            if (reply instanceof StoreReply.LeaseGranted granted) {
                set(change, current, next, granted.lease());
            } else {
                change.callPending = false;
                change.retryAtMillis = context.now() + RETRY_DELAY_MILLIS;
            }
        });
    }

    private void set(Change change, Optional<VersionShareRegistry.Current> current, VersionShares next, long lease) {
        VersionShares replaced = current.map(VersionShareRegistry.Current::shares)
                .orElse(VersionShares.unknown(next.service(), VersionShares.BEFORE_FIRST_EPOCH));
        long expectedRevision =
                current.map(VersionShareRegistry.Current::revision).orElse(0L);
        store.call(
                new StoreCall.SetVersionShares(next, expectedRevision, replaced, lease), CALL_TIMEOUT_MILLIS, reply -> {
                    change.callPending = false;
                    change.retryAtMillis = context.now() + RETRY_DELAY_MILLIS;
                    context.log(
                            "versions",
                            "Version shares of resumable streams set, or another router set them.",
                            "service",
                            next.service(),
                            "epoch",
                            next.epoch(),
                            "shares",
                            next.shares(),
                            "outcome",
                            reply.getClass().getSimpleName());
                    if (reply instanceof StoreReply.Written) {
                        completion.begin(replaced, lease);
                    } else if (reply instanceof StoreReply.Conflict) {
                        store.call(new StoreCall.EndLease(lease), CALL_TIMEOUT_MILLIS, ended -> {});
                    }
                });
    }
}
