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
    private final KnownItems known;
    private final ForwardedUpstreams upstreams;
    private final CallTiming timing;
    private final UpstreamPlacement placement;

    CallSelection(ForwardingContext context, KnownItems known, ForwardedUpstreams upstreams, CallTiming timing) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.timing = timing;
        this.placement = new UpstreamPlacement(context.settings().self().failureDomain(), context.random());
    }

    /** Chooses the best upstream, or none when no upstream may run the request now. */
    Optional<UpstreamPlacement.Choice> choose(CallRow row) {
        List<ForwardedUpstream> candidates = candidates(row);
        return row.route.prompted()
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
        long named =
                known.named(row.call.model()).map(weights -> weights.version()).orElse(0L);
        double fetchRate = known.traits(row.service)
                .map(traits -> traits.fetchTokensPerMilli())
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
                known.routing().map(RoutingTable::keptCaches).orElse(List.of())) {
            stores.add(new UpstreamPlacement.KeptCache(
                    service.keptCache().orElseThrow().address(), upstreams.keptCache(new UpstreamId(service.name()))));
        }
        return stores;
    }

    private List<ForwardedUpstream> candidates(CallRow row) {
        List<ForwardedUpstream> usable = new ArrayList<>();
        List<ForwardedUpstream> suspects = new ArrayList<>();
        for (ForwardedUpstream upstream : upstreams.staying(row.service)) {
            boolean refuses = context.now() < upstream.fullUntilMillis
                    || (row.route.prompted() && upstream.switching(context.now()));
            if (refuses || row.excluded.contains(upstream.id()) || weightsOutdated(row, upstream)) {
                continue;
            }
            (upstream.suspect(context.now()) ? suspects : usable).add(upstream);
        }
        return usable.isEmpty() ? suspects : usable;
    }

    private boolean weightsOutdated(CallRow row, ForwardedUpstream upstream) {
        if (!row.route.prompted()) {
            return false;
        }
        long named =
                known.named(row.call.model()).map(weights -> weights.version()).orElse(0L);
        long version = upstream.weights.getOrDefault(row.call.model(), 0L);
        return version < named
                && context.now() - known.replacedAtMillis(row.call.model(), version)
                        > timing.replacedWeightsMillis(context.settings().replacedWeightsMillis());
    }

    private static UpstreamPlacement.Chains chains(CallRow row) {
        Map<Long, PromptChain> byVersion = new HashMap<>();
        return version ->
                byVersion.computeIfAbsent(version, key -> PromptChain.of(CacheSalt.of(row.customer, key), row.call));
    }
}
