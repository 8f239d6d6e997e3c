package org.fuchsiatrail.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.membership.Rendezvous;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/**
 * Selects the engine with the lowest cost: the predicted time to the first token plus the weighted prefill time.
 *
 * <p>When the cache directory has no entry for a prompt's prefix, the engine that rendezvous hashing ranks first for
 * the prompt's anchor is treated as if it had part of the prompt cached, so that routers without directory entries
 * still send equal prefixes to the same engine.
 */
public final class EngineChooser {

    /** Candidates whose cost exceeds the best cost by at most this ratio are a near tie, which is broken at random. */
    private static final double NEAR_TIE_RATIO = 0.05;

    /** Candidates whose cost exceeds the best cost by at most this much are a near tie, in milliseconds. */
    private static final double NEAR_TIE_MILLIS = 2.0;

    /** The assumed wait for a free place in a full batch, in milliseconds. */
    private static final long FULL_BATCH_PENALTY_MILLIS = 500;

    /** The mean queue of the engines, in milliseconds, that corresponds to a prefill weight of one. */
    private static final double QUEUE_MILLIS_PER_WEIGHT = 50;

    /** The maximum prefill weight that results from the engines' queues. */
    private static final double MAXIMUM_QUEUE_WEIGHT = 3;

    /** The fraction of the prompt that counts as cached on the engine ranked first by rendezvous hashing. */
    private static final double HASH_PLACEMENT_CREDIT = 0.5;

    private final RouterContext context;
    private final UpstreamSystem upstreams;

    /**
     * Creates a chooser.
     *
     * @param context the router's context
     * @param upstreams the table of upstreams
     */
    public EngineChooser(RouterContext context, UpstreamSystem upstreams) {
        this.context = context;
        this.upstreams = upstreams;
    }

    /**
     * Ranks the engines that may run a request.
     *
     * @param model the model
     * @param chain the prompt's chain of cache checkpoints
     * @param matches the cache directory's matches for the prompt
     * @param excluded engines that must not be used
     * @return candidates, cheapest first; empty when no engine may run the request
     */
    public List<Candidate> rank(
            ModelVersion model, PrefixChain chain, List<PeerMessage.PrefixMatch> matches, Set<UpstreamId> excluded) {
        List<UpstreamRow> usable = usable(model, excluded);
        Map<UpstreamId, PeerMessage.PrefixMatch> matchByEngine = new HashMap<>();
        matches.forEach(match -> matchByEngine.put(match.engine(), match));
        UpstreamId hashPlaced = matches.isEmpty() ? hashPlacement(chain, usable) : null;
        double prefillWeight = Math.max(context.settings().recomputeWeight(), queueWeight(usable));
        List<Candidate> candidates = new ArrayList<>(usable.size());
        for (UpstreamRow engine : usable) {
            boolean isHashPlaced = engine.id().equals(hashPlaced);
            candidates.add(evaluate(engine, chain, matchByEngine.get(engine.id()), isHashPlaced, prefillWeight));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::cost));
        return candidates;
    }

    /**
     * Selects an engine; near ties are broken at random.
     *
     * @param model the model
     * @param chain the prompt's chain of cache checkpoints
     * @param matches the cache directory's matches for the prompt
     * @param excluded engines that must not be used
     * @return the selected engine, or nothing when no engine may run the request
     */
    public Optional<Candidate> choose(
            ModelVersion model, PrefixChain chain, List<PeerMessage.PrefixMatch> matches, Set<UpstreamId> excluded) {
        List<Candidate> ranked = rank(model, chain, matches, excluded);
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        double nearTieCost = Math.max(
                ranked.get(0).cost() * (1 + NEAR_TIE_RATIO), ranked.get(0).cost() + NEAR_TIE_MILLIS);
        int ties = 1;
        while (ties < ranked.size() && ranked.get(ties).cost() <= nearTieCost) {
            ties++;
        }
        return Optional.of(ranked.get(ties == 1 ? 0 : context.random().nextInt(ties)));
    }

    private List<UpstreamRow> usable(ModelVersion model, Set<UpstreamId> excluded) {
        long now = context.now();
        List<UpstreamRow> usable = new ArrayList<>();
        for (UpstreamRow engine : upstreams.engines()) {
            boolean available = !engine.draining() && engine.reachable(now) && engine.hasLoaded(model);
            if (available && !excluded.contains(engine.id())) {
                usable.add(engine);
            }
        }
        return usable;
    }

    /**
     * Returns the prefill weight for the engines' mean queue. While engines are busy, recomputing a cached prefix
     * delays other requests.
     */
    private double queueWeight(List<UpstreamRow> usable) {
        double totalQueueMillis = 0;
        for (UpstreamRow engine : usable) {
            totalQueueMillis += (double) engine.queuedTokens(context.now()) * 1000 / engine.prefillTokensPerSecond();
        }
        return usable.isEmpty()
                ? 0
                : Math.min(MAXIMUM_QUEUE_WEIGHT, totalQueueMillis / usable.size() / QUEUE_MILLIS_PER_WEIGHT);
    }

    private UpstreamId hashPlacement(PrefixChain chain, List<UpstreamRow> usable) {
        if (chain.checkpoints().length == 0 || !context.settings().prefixAffinity()) {
            return null;
        }
        return Rendezvous.first(
                        "place/" + chain.anchor(), usable, row -> row.id().value())
                .map(UpstreamRow::id)
                .orElse(null);
    }

    private Candidate evaluate(
            UpstreamRow engine,
            PrefixChain chain,
            PeerMessage.PrefixMatch match,
            boolean hashPlaced,
            double prefillWeight) {
        int cached = 0;
        if (match != null && (engine.incarnation() == 0 || match.incarnation() == engine.incarnation())) {
            cached = Math.min(chain.tokens(), match.checkpoints() * PrefixChain.CHECKPOINT_TOKENS);
        } else if (hashPlaced) {
            cached = (int) (chain.tokens() * HASH_PLACEMENT_CREDIT);
        }
        int uncached = chain.tokens() - cached;
        double millisPerToken = 1000.0 / engine.prefillTokensPerSecond();
        long queueMillis = (long) (engine.queuedTokens(context.now()) * millisPerToken);
        if (!engine.hasStreamRoom()) {
            queueMillis += FULL_BATCH_PENALTY_MILLIS;
        }
        long distanceMillis = engine.domain().equals(context.settings().self().failureDomain())
                ? 0
                : context.settings().domainDistanceMillis();
        double prefillMillis = uncached * millisPerToken;
        double firstTokenMillis = queueMillis + prefillMillis + distanceMillis;
        double cost = firstTokenMillis + prefillWeight * prefillMillis;
        int confirmedCached = hashPlaced ? 0 : cached;
        return new Candidate(
                engine,
                confirmedCached,
                chain.tokens() - confirmedCached,
                queueMillis,
                Math.round(firstTokenMillis),
                cost);
    }
}
