package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;

/** Selects the upstream for a request among those that may run it now. */
final class CallSelection {

    private final ForwardingContext context;
    private final StoreReplica known;
    private final UpstreamTable upstreams;
    private final CallTiming timing;
    private final UpstreamPlacement placement;

    CallSelection(ForwardingContext context, StoreReplica known, UpstreamTable upstreams, CallTiming timing) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.timing = timing;
        this.placement = new UpstreamPlacement(context.settings().self().failureDomain(), context.random());
    }

    /** Chooses the best upstream, or none when no upstream may run the request now. */
    Optional<UpstreamPlacement.Placement> choose(CallRow row) {
        List<UpstreamState> candidates = candidates(row);
        return row.route.describesPrompt()
                ? placement.placePrompt(row.call, candidates, chains(row), conditions(row))
                : placement.placeCall(candidates, context.now());
    }

    /** Tells whether any upstream may run the request now. */
    boolean anyFor(CallRow row) {
        return !candidates(row).isEmpty();
    }

    /** Tells whether any upstream but the present one may run the request now. */
    boolean anyBeside(CallRow row) {
        return candidates(row).stream().anyMatch(upstream -> upstream != row.upstream);
    }

    private UpstreamPlacement.Conditions conditions(CallRow row) {
        long named = known.targetWeights(row.call.model())
                .map(weights -> weights.version())
                .orElse(0L);
        double fetchRate = known.traits(row.service)
                .map(traits -> traits.fetchTokensPerMillisecond())
                .orElse(0.0);
        return new UpstreamPlacement.Conditions(
                context.now(),
                version -> version < named
                        ? timing.oldWeightsCost(context.now() - known.replacedAtMillis(row.call.model(), version))
                        : 0,
                fetchRate,
                known.memoryTokens(row.service),
                keptCaches());
    }

    private List<UpstreamPlacement.KeptCache> keptCaches() {
        List<UpstreamPlacement.KeptCache> stores = new ArrayList<>();
        for (ServiceDefinition service :
                known.routing().map(RoutingTable::kvCacheStores).orElse(List.of())) {
            stores.add(new UpstreamPlacement.KeptCache(
                    service.kvCacheStore().orElseThrow().address(),
                    upstreams.kvCacheStore(new UpstreamId(service.name()))));
        }
        return stores;
    }

    private List<UpstreamState> candidates(CallRow row) {
        List<UpstreamState> usable = new ArrayList<>();
        List<UpstreamState> suspects = new ArrayList<>();
        for (UpstreamState upstream : upstreams.activeUpstreams(row.service)) {
            boolean refuses = context.now() < upstream.overloadedUntilMillis
                    || (row.route.describesPrompt() && upstream.switching(context.now()));
            if (refuses || row.excluded.contains(upstream.id()) || weightsOutdated(row, upstream)) {
                continue;
            }
            (upstream.suspect(context.now()) ? suspects : usable).add(upstream);
        }
        return usable.isEmpty() ? suspects : usable;
    }

    private boolean weightsOutdated(CallRow row, UpstreamState upstream) {
        if (!row.route.describesPrompt()) {
            return false;
        }
        long named = known.targetWeights(row.call.model())
                .map(weights -> weights.version())
                .orElse(0L);
        long version = upstream.weightVersions.getOrDefault(row.call.model(), 0L);
        return version < named
                && context.now() - known.replacedAtMillis(row.call.model(), version)
                        > timing.replacedWeightsMillis(context.settings().replacedWeightsGraceMillis());
    }

    private static UpstreamPlacement.Chains chains(CallRow row) {
        Map<Long, PromptChain> byVersion = new HashMap<>();
        return version ->
                byVersion.computeIfAbsent(version, key -> PromptChain.of(CacheSalt.of(row.customer, key), row.call));
    }
}
