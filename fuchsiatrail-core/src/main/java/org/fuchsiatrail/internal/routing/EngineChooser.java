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
 * Chooses the engine with the least predicted time to first token plus weighted recomputation.
 *
 * <p>When nothing is known of a prompt's prefix, the engine that rendezvous hashing ranks first for its anchor counts
 * as if it held a part of it, so that routers without a directory still send equal prefixes to the same engine.
 */
public final class EngineChooser {

    /** Candidates within this share of the best cost are a near tie. */
    private static final double NEAR_TIE = 0.05;

    /** Candidates within this cost of the best are a near tie, in milliseconds. */
    private static final double NEAR_TIE_MILLIS = 2.0;

    /** The cost of waiting for a place in a full batch, in milliseconds. */
    private static final long FULL_BATCH_MILLIS = 500;

    /** The mean queue of the engines that adds one to the weight of recomputing, in milliseconds. */
    private static final double PRESSURE_MILLIS = 50;

    /** The most that busy engines add to the weight of recomputing. */
    private static final double MOST_PRESSURE = 3;

    /** The part of the prompt that the engine ranked first by hash counts as holding. */
    private static final double PLACEMENT_CREDIT = 0.5;

    private final RouterContext context;
    private final UpstreamSystem upstreams;

    /**
     * Creates a chooser.
     *
     * @param context the router's context
     * @param upstreams the engines
     */
    public EngineChooser(RouterContext context, UpstreamSystem upstreams) {
        this.context = context;
        this.upstreams = upstreams;
    }

    /**
     * Ranks the engines that may run a request.
     *
     * @param model the model
     * @param chain the prompt's chain
     * @param matches what the directory knows of it
     * @param excluded engines that must not be used
     * @return candidates, cheapest first; empty when no engine may run it
     */
    public List<Candidate> rank(
            ModelVersion model, PrefixChain chain, List<PeerMessage.PrefixMatch> matches, Set<UpstreamId> excluded) {
        List<UpstreamRow> usable = usable(model, excluded);
        Map<UpstreamId, PeerMessage.PrefixMatch> held = new HashMap<>();
        matches.forEach(match -> held.put(match.engine(), match));
        UpstreamId placed = matches.isEmpty() ? placement(chain, usable) : null;
        double weight = Math.max(context.settings().recomputeWeight(), pressure(usable));
        List<Candidate> candidates = new ArrayList<>(usable.size());
        for (UpstreamRow engine : usable) {
            boolean isPlaced = engine.id().equals(placed);
            candidates.add(weigh(engine, chain, held.get(engine.id()), isPlaced, weight));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::cost));
        return candidates;
    }

    /**
     * Chooses an engine.
     *
     * @param model the model
     * @param chain the prompt's chain
     * @param matches what the directory knows of it
     * @param excluded engines that must not be used
     * @return the choice, or nothing when no engine may run it
     */
    public Optional<Candidate> choose(
            ModelVersion model, PrefixChain chain, List<PeerMessage.PrefixMatch> matches, Set<UpstreamId> excluded) {
        List<Candidate> ranked = rank(model, chain, matches, excluded);
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        double bound =
                Math.max(ranked.get(0).cost() * (1 + NEAR_TIE), ranked.get(0).cost() + NEAR_TIE_MILLIS);
        int ties = 1;
        while (ties < ranked.size() && ranked.get(ties).cost() <= bound) {
            ties++;
        }
        return Optional.of(ranked.get(ties == 1 ? 0 : context.random().nextInt(ties)));
    }

    private List<UpstreamRow> usable(ModelVersion model, Set<UpstreamId> excluded) {
        long now = context.now();
        List<UpstreamRow> usable = new ArrayList<>();
        for (UpstreamRow engine : upstreams.engines()) {
            boolean fit = !engine.draining() && engine.reachable(now) && engine.hasLoaded(model);
            if (fit && !excluded.contains(engine.id())) {
                usable.add(engine);
            }
        }
        return usable;
    }

    /**
     * Returns how much more recomputing costs while engines are busy: computed twice is then time taken from others.
     */
    private double pressure(List<UpstreamRow> usable) {
        double sum = 0;
        for (UpstreamRow engine : usable) {
            sum += (double) engine.queuedTokens(context.now()) * 1000 / engine.prefillTokensPerSecond();
        }
        return usable.isEmpty() ? 0 : Math.min(MOST_PRESSURE, sum / usable.size() / PRESSURE_MILLIS);
    }

    private UpstreamId placement(PrefixChain chain, List<UpstreamRow> usable) {
        if (chain.checkpoints().length == 0 || !context.settings().prefixAffinity()) {
            return null;
        }
        return Rendezvous.first(
                        "place/" + chain.anchor(), usable, row -> row.id().value())
                .map(UpstreamRow::id)
                .orElse(null);
    }

    private Candidate weigh(
            UpstreamRow engine, PrefixChain chain, PeerMessage.PrefixMatch match, boolean placed, double weight) {
        int cached = 0;
        if (match != null && (engine.incarnation() == 0 || match.incarnation() == engine.incarnation())) {
            cached = Math.min(chain.tokens(), match.checkpoints() * PrefixChain.CHECKPOINT_TOKENS);
        } else if (placed) {
            cached = (int) (chain.tokens() * PLACEMENT_CREDIT);
        }
        int uncached = chain.tokens() - cached;
        double millisPerToken = 1000.0 / engine.prefillTokensPerSecond();
        long queue = (long) (engine.queuedTokens(context.now()) * millisPerToken);
        if (!engine.hasStreamRoom()) {
            queue += FULL_BATCH_MILLIS;
        }
        long distance = engine.domain().equals(context.settings().self().failureDomain())
                ? 0
                : context.settings().domainDistanceMillis();
        double compute = uncached * millisPerToken;
        double firstToken = queue + compute + distance;
        double cost = firstToken + weight * compute;
        int known = placed ? 0 : cached;
        return new Candidate(engine, known, chain.tokens() - known, queue, Math.round(firstToken), cost);
    }
}
