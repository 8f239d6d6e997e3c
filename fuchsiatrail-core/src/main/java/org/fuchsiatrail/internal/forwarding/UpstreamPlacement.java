package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.UpstreamLoad;
import org.fuchsiatrail.internal.load.EngineModel;
import org.fuchsiatrail.internal.load.PartHolders;
import org.fuchsiatrail.internal.locality.DomainChoice;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Selects the upstream with the lowest expected cost for a request, mainly the predicted time to its first event.
 *
 * <p>Load pattern for model engines: sessions of long shared prompts at a load where a full prefill of every prompt
 * would exceed the capacity of the engines. Rendezvous hashing gives each session a home engine that is the same on all
 * routers, so its shared parts are prefilled once. A request is placed elsewhere when it would be late at the home
 * engine, or when waiting there costs more than to fetch or prefill the shared parts again.
 *
 * <p>Load pattern for plain services: short calls on few slots. They are placed on the least busy upstream, with a
 * preference for the own failure domain.
 */
final class UpstreamPlacement {

    /** The fraction of the latency target within which a predicted first event is expected to be in time. */
    private static final double IN_TIME_FRACTION = 0.5;

    /**
     * Cost of another prefill of shared tokens, as a multiple of its time: the prefill delays the requests behind it,
     * and the parts evict others. It does not exceed the time within which a request is in time, so that an engine with
     * cached parts is preferred as long as it answers in time.
     */
    private static final double REPEATED_PREFILL_COST_FACTOR = 7.6;

    /** The fraction of that cost for tokens that are fetched, which take memory of another engine without its time. */
    private static final double COPY_COST_FRACTION = 0.1;

    /** The fraction of a session's shared tokens that its home engine is expected to have cached without a report. */
    private static final double HOME_CACHED_FRACTION = 0.8;

    /** The fraction of an engine's KV memory that running requests may use before new ones wait; the rest is cache. */
    private static final double RUNNING_MEMORY_FRACTION = 0.6;

    /** Prompt tokens of a request in an engine's own queue, of which only the number is known; a short prompt. */
    private static final long QUEUED_REQUEST_TOKENS = 1_140;

    /** Cost when all slots are busy, in prompt tokens read; it grows in proportion to the busy slots. */
    private static final long BUSY_SLOTS_TOKENS = 760;

    /** The longest prompt that counts as short, in tokens; engines prefill about that many between decode steps. */
    private static final long SHORT_PROMPT_TOKENS = 4_000;

    /** Cost of a failure rate of 1, in milliseconds; a failed attempt costs about the time of a call. */
    private static final double FAILURE_COST_MILLIS = 150;

    /** Cost when all slots are busy, as a fraction of the time of a call; it grows in proportion to the busy slots. */
    private static final double BUSY_SLOTS_CALL_FRACTION = 0.25;

    /** How long a load report is valid, in milliseconds. */
    private static final long LOAD_VALIDITY_MILLIS = 400;

    /**
     * The range of a random cost, in milliseconds, so that routers do not all select the same of several equal
     * upstreams.
     */
    private static final double RANDOM_COST_MILLIS = 2;

    private final SplittableRandom random;
    private final PartHolders partHolders = new PartHolders();

    /**
     * The upstream selected for a request, with the expected cost.
     *
     * @param upstream the upstream
     * @param chain the prompt with the keys under which that upstream's cache finds it
     * @param predictedMillis the expected time to the first event or the answer
     * @param uncachedTokens prompt tokens that are expected to need prefill
     * @param uncachedSharedTokens shared tokens among them
     * @param cachedTokens shared tokens that are known to be cached there
     * @param newMemoryTokens prompt tokens that need new KV memory, as they belong only to this request or are not
     *     cached
     * @param expectsHit whether shared parts are expected to be cached there only because it is their holder
     * @param fetchFrom the address of the engine or KV cache store that may hold shared parts that the upstream lacks
     * @param saveTo the address of the KV cache store that is to save shared parts prefilled by the upstream
     */
    record Placement(
            UpstreamState upstream,
            PromptChain chain,
            double predictedMillis,
            long uncachedTokens,
            long uncachedSharedTokens,
            long cachedTokens,
            long newMemoryTokens,
            boolean expectsHit,
            Optional<String> fetchFrom,
            Optional<String> saveTo) {

        /** A placement of a request without a prompt. */
        private static Placement withoutPrompt(UpstreamState upstream, double predictedMillis) {
            return new Placement(
                    upstream,
                    new PromptChain(List.of()),
                    predictedMillis,
                    0,
                    0,
                    0,
                    0,
                    false,
                    Optional.empty(),
                    Optional.empty());
        }

        /** The prompt tokens that no other request shares, which are read in any case. */
        long ownTokens() {
            return uncachedTokens - uncachedSharedTokens;
        }
    }

    /** The placement on another router, which selects the upstream itself. */
    static Placement onRouter(UpstreamState router) {
        return Placement.withoutPrompt(router, 0);
    }

    /**
     * Inputs of a placement in addition to the upstreams.
     *
     * @param nowMillis the time
     * @param latencyTargetMillis the time to the first event that callers expect
     * @param weightsCost the cost of a version of the weights, in milliseconds
     * @param fetchTokensPerMillisecond how fast engines fetch cached parts, or 0 when they do not
     * @param engineMemoryTokens KV memory of an engine, in tokens
     * @param kvCacheStores the KV cache stores
     * @param partialReports whether routers hear of a part of the cached parts only, as in a fleet with relays
     */
    record Conditions(
            long nowMillis,
            double latencyTargetMillis,
            LongToDoubleFunction weightsCost,
            double fetchTokensPerMillisecond,
            long engineMemoryTokens,
            List<KvCacheStore> kvCacheStores,
            boolean partialReports) {}

    /**
     * A KV cache store.
     *
     * @param address its IP address and port
     * @param view what is known of the parts that it has saved
     */
    record KvCacheStore(String address, PromptCacheView view) {}

    /** Provides the keys of a request's prompt, which depend on the weight version of an engine. */
    @FunctionalInterface
    interface PromptChains {
        PromptChain forWeights(long version);
    }

    UpstreamPlacement(SplittableRandom random) {
        this.random = random;
    }

    /** Selects an upstream for a call to a plain service; empty without candidates. */
    Optional<Placement> placeCall(List<UpstreamState> candidates, long nowMillis, DomainChoice<Placement> choice) {
        for (UpstreamState upstream : candidates) {
            int slots = slots(upstream);
            int busySlots = busySlots(upstream, nowMillis);
            double callMillis = upstream.model.callMillis();
            double predictedMillis = callMillis + Math.max(0, busySlots + 1 - slots) * callMillis / slots;
            double cost = predictedMillis
                    + BUSY_SLOTS_CALL_FRACTION * callMillis * busySlots / slots
                    + FAILURE_COST_MILLIS * upstream.failureRate
                    + random.nextDouble(RANDOM_COST_MILLIS);
            choice.add(
                    upstream.domain(),
                    Placement.withoutPrompt(upstream, predictedMillis),
                    new DomainChoice.Expectation(cost, 0, predictedMillis, 0));
        }
        return choice.select();
    }

    /** Selects an engine for a request with a prompt; empty without candidates. */
    Optional<Placement> placePrompt(
            ForwardedCall call,
            List<UpstreamState> candidates,
            PromptChains chains,
            Conditions conditions,
            DomainChoice<Placement> choice) {
        long newestVersion = candidates.stream()
                .mapToLong(upstream -> weightVersion(upstream, call))
                .max()
                .orElse(0);
        PromptChain newestChain = chains.forWeights(newestVersion);
        List<UpstreamState> holders =
                holders(newestChain, ofVersion(candidates, call, newestVersion), conditions.partialReports());
        Map<Long, SharedPartSources> sourcesByVersion = new HashMap<>();
        for (UpstreamState upstream : candidates) {
            SharedPartSources sources = sourcesByVersion.computeIfAbsent(
                    weightVersion(upstream, call),
                    version -> new SharedPartSources(
                            chains.forWeights(version),
                            ofVersion(candidates, call, version),
                            version == newestVersion ? holders : List.of(),
                            conditions));
            long cachedTokens = upstream.cache.cachedTokens(sources.shared());
            SharedPartSources.Transfers transfers = sources.transfers(upstream, cachedTokens);
            Placement placement = evaluate(call, upstream, sources, cachedTokens, transfers, conditions);
            double answerMillis = placement.predictedMillis()
                    + FAILURE_COST_MILLIS * upstream.failureRate
                    + conditions.weightsCost().applyAsDouble(weightVersion(upstream, call));
            double partsMillis = sharedPartsCostMillis(placement, sources.isHolder(upstream), transfers, conditions);
            double cost = answerMillis
                    + partsMillis
                    + upstream.model.prefillMillis(BUSY_SLOTS_TOKENS)
                            * busySlots(upstream, conditions.nowMillis())
                            / slots(upstream)
                    + random.nextDouble(RANDOM_COST_MILLIS);
            choice.add(
                    upstream.domain(),
                    placement,
                    new DomainChoice.Expectation(cost, answerMillis, placement.predictedMillis(), partsMillis));
        }
        if (!holders.isEmpty()) {
            partHolders.record(newestChain.sessionKey(), newestChain.sharedTokens());
        }
        return choice.select();
    }

    /** The predicted time to a first event within which a request is expected to be in time. */
    static double inTimeMillis(double latencyTargetMillis) {
        return latencyTargetMillis * IN_TIME_FRACTION;
    }

    /**
     * The engines that are to hold the shared parts of a prompt: where routers hear all cache reports the one home
     * engine of its session, which the reports of copies complement.
     */
    private List<UpstreamState> holders(PromptChain chain, List<UpstreamState> engines, boolean partialReports) {
        if (chain.shared().isEmpty()) {
            return List.of();
        }
        return partialReports
                ? partHolders.holders(chain.sessionKey(), chain.sharedTokens(), engines, UpstreamPlacement::name)
                : Rendezvous.highest(chain.sessionKey(), engines, 1, UpstreamPlacement::name);
    }

    private static String name(UpstreamState upstream) {
        return upstream.id().value();
    }

    /** The cost of shared tokens that are prefilled or copied although another engine has them cached. */
    private static double sharedPartsCostMillis(
            Placement placement, boolean isHolder, SharedPartSources.Transfers transfers, Conditions conditions) {
        EngineModel model = placement.upstream().model;
        long uncachedTokens = placement.uncachedSharedTokens();
        double repeatedTokens;
        double savedMillis = 0;
        if (conditions.partialReports()) {
            repeatedTokens = isHolder ? 0 : uncachedTokens + COPY_COST_FRACTION * transfers.fetchedTokens();
        } else {
            double hitFraction = isHolder ? HOME_CACHED_FRACTION : 0;
            repeatedTokens = (1 - hitFraction) * uncachedTokens;
            savedMillis = hitFraction * model.prefillMillis(uncachedTokens);
        }
        return Math.min(
                        REPEATED_PREFILL_COST_FACTOR * model.prefillMillis(Math.round(repeatedTokens)),
                        inTimeMillis(conditions.latencyTargetMillis()))
                - savedMillis;
    }

    /** Predicts the time of a request on one engine, including the fetch of parts. */
    private static Placement evaluate(
            ForwardedCall call,
            UpstreamState upstream,
            SharedPartSources sources,
            long cachedTokens,
            SharedPartSources.Transfers transfers,
            Conditions conditions) {
        long nowMillis = conditions.nowMillis();
        long heldTokens = sources.isHolder(upstream) ? sources.expectedTokens(upstream) : 0;
        long availableTokens = cachedTokens + transfers.fetchedTokens();
        long uncachedSharedTokens = Math.max(0, sources.sharedTokens() - Math.max(availableTokens, heldTokens));
        long ownTokens = Math.max(sources.tokens(), call.inputTokens()) - sources.sharedTokens();
        long newMemoryTokens = Math.max(0, sources.tokens() - sources.sharedTokens())
                + Math.max(0, sources.sharedTokens() - cachedTokens);
        boolean isShort = isShort(call.inputTokens());
        boolean slotsTaken = busySlots(upstream, nowMillis) >= slots(upstream);
        double usedMemoryTokens = upstream.memoryTokens(nowMillis) + newMemoryTokens;
        boolean memoryTaken = usedMemoryTokens > conditions.engineMemoryTokens() * RUNNING_MEMORY_FRACTION;
        EngineModel model = upstream.model;
        double predictedMillis = model.firstEventMillis(
                        upstream.pendingPromptTokens(nowMillis, isShort), ownTokens + uncachedSharedTokens)
                + upstream.stallMillis(nowMillis, isShort)
                + model.prefillMillis(waiting(upstream, nowMillis) * QUEUED_REQUEST_TOKENS)
                + (slotsTaken || memoryTaken ? model.placeMillis() : 0)
                + transfers.fetchMillis();
        return new Placement(
                upstream,
                sources.chain(),
                predictedMillis,
                ownTokens + uncachedSharedTokens,
                uncachedSharedTokens,
                cachedTokens,
                newMemoryTokens,
                heldTokens > availableTokens,
                transfers.fetchFrom(),
                transfers.saveTo());
    }

    private static long waiting(UpstreamState upstream, long nowMillis) {
        return freshLoad(upstream, nowMillis).map(UpstreamLoad::waiting).orElse(0);
    }

    /** Returns whether a prompt is short enough for engines to prefill it in one piece. */
    static boolean isShort(long inputTokens) {
        return inputTokens <= SHORT_PROMPT_TOKENS;
    }

    /** Returns whether an upstream runs fewer requests than it can at once, as far as known. */
    static boolean hasPlace(UpstreamState upstream, long nowMillis) {
        return busySlots(upstream, nowMillis) < slots(upstream);
    }

    private static int slots(UpstreamState upstream) {
        return Math.max(1, upstream.entry.slots());
    }

    private static List<UpstreamState> ofVersion(List<UpstreamState> engines, ForwardedCall call, long version) {
        List<UpstreamState> selected = new ArrayList<>(engines.size());
        for (UpstreamState engine : engines) {
            if (weightVersion(engine, call) == version) {
                selected.add(engine);
            }
        }
        return selected;
    }

    private static long weightVersion(UpstreamState upstream, ForwardedCall call) {
        return upstream.weightVersions.getOrDefault(call.model(), 0L);
    }

    /** Returns the load that an upstream reported lately. */
    private static Optional<UpstreamLoad> freshLoad(UpstreamState upstream, long nowMillis) {
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= nowMillis - LOAD_VALIDITY_MILLIS;
        return fresh ? Optional.of(upstream.load) : Optional.empty();
    }

    private static int busySlots(UpstreamState upstream, long nowMillis) {
        int knownBusy = upstream.running(nowMillis);
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= nowMillis - LOAD_VALIDITY_MILLIS;
        return fresh ? Math.max(knownBusy, upstream.load.running() + upstream.load.waiting()) : knownBusy;
    }
}
