package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CacheSharing;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.internal.locality.DomainChoice;
import org.fuchsiatrail.internal.paths.LostPathsDecision;

/** Selects the upstream for a request among those that are currently eligible. */
final class UpstreamSelector {

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final UpstreamTable upstreams;
    private final CallTiming timing;
    private final UpstreamAvailability availability;
    private final UpstreamPlacement placement;
    private final PathLoss pathLoss;

    UpstreamSelector(
            ForwardingContext context,
            StoreReplica storeReplica,
            UpstreamTable upstreams,
            CallTiming timing,
            RequestLimits requestLimits) {
        this.context = context;
        this.storeReplica = storeReplica;
        this.upstreams = upstreams;
        this.timing = timing;
        this.availability = new UpstreamAvailability(context, requestLimits, upstreams, timing);
        this.placement = new UpstreamPlacement(context.random());
        this.pathLoss = new PathLoss(context, storeReplica, upstreams);
    }

    UpstreamAvailability availability() {
        return availability;
    }

    /** Selects the best upstream, or none when no upstream is eligible. */
    Optional<UpstreamPlacement.Placement> select(PendingCall pending) {
        if (reachesNobody(pending)) {
            return Optional.empty();
        }
        List<UpstreamState> candidates = candidates(pending);
        DomainChoice<UpstreamPlacement.Placement> choice =
                context.domainTraffic().choose(pending, !GossipTopology.usesRelays(storeReplica.memberCount()));
        return pending.route.describesPrompt()
                ? placement.placePrompt(pending.call, candidates, promptChains(pending), conditions(pending), choice)
                : placement.placeCall(candidates, context.now(), choice);
    }

    /** Returns whether any upstream is eligible for the request. */
    boolean hasCandidate(PendingCall pending) {
        return !candidates(pending).isEmpty();
    }

    /** Returns whether any upstream other than the current one is eligible for the request. */
    boolean hasAlternative(PendingCall pending) {
        return candidates(pending).stream().anyMatch(upstream -> upstream != pending.upstream);
    }

    /** Returns whether an upstream other than the current one is eligible, is not suspected and has a place. */
    boolean hasPlaceElsewhere(PendingCall pending) {
        return candidates(pending).stream()
                .anyMatch(upstream -> upstream != pending.upstream
                        && !upstream.isSuspected(context.now())
                        && UpstreamPlacement.hasPlace(upstream, context.now()));
    }

    /** The same of an upstream that has answered since the last event of the request's stream. */
    boolean hasRespondingPlaceElsewhere(PendingCall pending) {
        return candidates(pending).stream()
                .anyMatch(upstream -> upstream != pending.upstream
                        && upstream.lastAnswerAtMillis > pending.lastEventAtMillis
                        && !upstream.isSuspected(context.now())
                        && UpstreamPlacement.hasPlace(upstream, context.now()));
    }

    private UpstreamPlacement.Conditions conditions(PendingCall pending) {
        long targetVersion = storeReplica
                .targetWeights(pending.call.model())
                .map(weights -> weights.version())
                .orElse(0L);
        double fetchRate = storeReplica
                .engineTraits(pending.service)
                .map(traits -> traits.fetchTokensPerMillisecond())
                .orElse(0.0);
        return new UpstreamPlacement.Conditions(
                context.now(),
                version -> version < targetVersion
                        ? timing.replacedWeightsCostMillis(
                                storeReplica.targetHistory().millisSinceReplaced(pending.call.model(), version))
                        : 0,
                fetchRate,
                storeReplica.memoryTokens(pending.service),
                kvCacheStores(),
                GossipTopology.usesRelays(storeReplica.memberCount()));
    }

    private List<UpstreamPlacement.KvCacheStore> kvCacheStores() {
        List<UpstreamPlacement.KvCacheStore> stores = new ArrayList<>();
        for (ServiceDefinition service :
                storeReplica.routing().map(RoutingTable::kvCacheStores).orElse(List.of())) {
            stores.add(new UpstreamPlacement.KvCacheStore(
                    service.kvCacheStore().orElseThrow().address(),
                    upstreams.kvCacheStore(new UpstreamId(service.name()))));
        }
        return stores;
    }

    /** Returns whether the request should not be sent on the paths of this router, which are probably lost. */
    boolean isCutOff(PendingCall pending) {
        pending.upstreamsLost = pathLoss.isLostFor(pending);
        return pending.upstreamsLost;
    }

    /** Returns after how many attempts without a connection a request is relayed, or refused to another router. */
    int unsentBeforeRelay(PendingCall pending) {
        boolean refusedLater = pending.call.relayed()
                && DarkSights.areTold(context, storeReplica)
                && !LostPathsDecision.areFew(
                        upstreams.activeUpstreams(pending.service).size());
        return refusedLater ? CallTiming.MAXIMUM_SENDS : CallTiming.UNSENT_BEFORE_RELAY;
    }

    /** Returns whether an attempt would only wait for a connection, as this router reaches nobody. */
    private static boolean reachesNobody(PendingCall pending) {
        boolean upstreamsLost = pending.upstreamsLost || pending.unsentAttempts >= CallTiming.UNSENT_BEFORE_RELAY;
        boolean refusedElsewhere =
                pending.relayRefusals >= CallTiming.MAXIMUM_RELAY_REFUSALS && pending.unsentAttempts > 0;
        return !pending.placeFound && upstreamsLost && (pending.routersLost || refusedElsewhere);
    }

    /** Returns whether any registered upstream has the software version that began the request's stream. */
    private boolean isVersionServed(PendingCall pending) {
        return upstreams.activeUpstreams(pending.service).stream()
                .anyMatch(upstream -> mayContinueAt(pending, upstream));
    }

    private static boolean mayContinueAt(PendingCall pending, UpstreamState upstream) {
        return pending.requiredVersion()
                .map(version -> version.equals(upstream.entry.softwareVersion()))
                .orElse(true);
    }

    /**
     * Returns the eligible upstreams; only when there is no other those that pause at other routers, and then suspected
     * ones.
     */
    private List<UpstreamState> candidates(PendingCall pending) {
        List<UpstreamState> active = candidates(pending, upstreams.activeUpstreams(pending.service));
        // Version shares follow upstreams that drain after a moment; until then others may not begin these streams.
        return active.isEmpty() && pending.assignedVersion.isPresent() && pending.streamVersion.isEmpty()
                ? candidates(pending, upstreams.recentlyDraining(pending.service))
                : active;
    }

    private List<UpstreamState> candidates(PendingCall pending, List<UpstreamState> registered) {
        List<UpstreamState> usable = new ArrayList<>();
        List<UpstreamState> lastResort = new ArrayList<>();
        List<UpstreamState> suspected = new ArrayList<>();
        for (UpstreamState upstream : registered) {
            boolean expectedToRefuse = context.now() < upstream.overloadedUntilMillis
                    || (pending.route.describesPrompt() && upstream.isSwitchingWeights(context.now()));
            RequestedPauses.Permission permission = availability.permission(upstream);
            if (expectedToRefuse
                    || permission == RequestedPauses.Permission.DENIED
                    || pending.excludedUpstreams.contains(upstream.id())
                    || !mayContinueAt(pending, upstream)
                    || hasOutdatedWeights(pending, upstream)) {
                continue;
            }
            boolean granted = permission == RequestedPauses.Permission.GRANTED;
            List<UpstreamState> unsuspected = granted ? usable : lastResort;
            (upstream.isSuspected(context.now()) ? suspected : unsuspected).add(upstream);
        }
        List<UpstreamState> first = usable.isEmpty() ? lastResort : usable;
        return first.isEmpty() ? suspected : first;
    }

    /** Returns why no upstream may receive the request in time, if what they all said of themselves excludes it. */
    Optional<UpstreamAvailability.Unavailable> unavailable(PendingCall pending) {
        if (pending.streamVersion.isPresent() && !isVersionServed(pending)) {
            return Optional.of(availability.withoutVersion(pending.streamVersion.get()));
        }
        if (reachesNobody(pending)) {
            // A stream that goes on is looked at anew.
            pending.upstreamsLost = false;
            pending.routersLost = false;
            return Optional.of(availability.withoutPath());
        }
        List<UpstreamState> permitted = new ArrayList<>();
        List<UpstreamState> active = upstreams.activeUpstreams(pending.service);
        for (UpstreamState upstream : active) {
            if (mayContinueAt(pending, upstream)) {
                permitted.add(upstream);
            }
        }
        // A broken stream may wait for an upstream that replaces one which leaves.
        if (active.isEmpty() && !pending.mayHaveRun() && upstreams.isAnyLeaving(pending.service)) {
            return Optional.of(availability.allLeaving());
        }
        return availability.unavailable(permitted, pending.placementDeadlineMillis - context.now());
    }

    private boolean hasOutdatedWeights(PendingCall pending, UpstreamState upstream) {
        if (!pending.route.describesPrompt()) {
            return false;
        }
        long targetVersion = storeReplica
                .targetWeights(pending.call.model())
                .map(weights -> weights.version())
                .orElse(0L);
        long version = upstream.weightVersions.getOrDefault(pending.call.model(), 0L);
        return version < targetVersion
                && storeReplica.targetHistory().millisSinceReplaced(pending.call.model(), version)
                        > timing.replacedWeightsGraceMillis(context.settings().replacedWeightsGraceMillis());
    }

    private UpstreamPlacement.PromptChains promptChains(PendingCall pending) {
        CacheSharing sharing =
                storeReplica.routing().map(RoutingTable::cacheSharing).orElse(CacheSharing.AMONG_ALL);
        Map<Long, PromptChain> chainsByVersion = new HashMap<>();
        return version -> chainsByVersion.computeIfAbsent(
                version, key -> PromptChain.of(CacheSalt.of(pending.customer, sharing, key), pending.call));
    }
}
