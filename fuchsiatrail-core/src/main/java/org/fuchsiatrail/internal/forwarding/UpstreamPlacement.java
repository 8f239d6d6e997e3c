package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.internal.locality.DomainChoice;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Selects the upstream with the lowest expected cost for a request, mainly the predicted time to its first event.
 *
 * <p>Load pattern for model engines: sessions of long shared prompts at a load where a full prefill of every prompt
 * would exceed the capacity of the engines. Rendezvous hashing gives each session a home engine that is the same on all
 * routers, so its shared parts are prefilled once. A request is placed elsewhere only when waiting at the home engine
 * costs more than another prefill of the shared parts.
 *
 * <p>Load pattern for plain services: short calls on few slots. They are placed on the least busy upstream, with a
 * preference for the own failure domain.
 */
final class UpstreamPlacement {

    /** Prefill speed of an engine in tokens per millisecond, from the platform's data sheets. */
    static final double PREFILL_TOKENS_PER_MILLISECOND = 38;

    /**
     * The fraction of the link bandwidth that one fetch gets, given concurrent fetches and links between failure
     * domains.
     */
    private static final double FETCH_BANDWIDTH_FRACTION = 0.3;

    /** The same for a fetch from a KV cache store, whose link is slower and shared by all engines. */
    private static final double STORE_FETCH_BANDWIDTH_FRACTION = 0.1;

    /** Up to this number of shared tokens, prefill is preferred to a fetch; a failed fetch costs a millisecond. */
    private static final long MINIMUM_FETCHED_TOKENS = 64;

    /**
     * Cost of another prefill of a shared token, in milliseconds of a caller's waiting time. The price of 1,000 such
     * tokens is half the value of a short prompt, and that value is lost when its answer is 400 ms late.
     */
    private static final double REPEATED_PREFILL_COST_MILLIS_PER_TOKEN = 0.2;

    /** The fraction of a session's shared tokens that its home engine is expected to have cached without a report. */
    private static final double HOME_CACHED_FRACTION = 0.8;

    /** Cost of an engine whose slots or memory are taken, in milliseconds; the time of a short generation. */
    private static final double FULL_ENGINE_COST_MILLIS = 300;

    /** The fraction of an engine's KV memory that running requests may use before new ones wait; the rest is cache. */
    private static final double RUNNING_MEMORY_FRACTION = 0.6;

    /** Cost of each request in an engine's own queue, in milliseconds; the prefill time of a short prompt. */
    private static final double QUEUED_REQUEST_COST_MILLIS = 30;

    /** The longest prompt that counts as short, in tokens; engines prefill about that many between decode steps. */
    private static final long SHORT_PROMPT_TOKENS = 4_000;

    /** Cost of a failure rate of 1, in milliseconds; a failed attempt costs about the time of a call. */
    private static final double FAILURE_COST_MILLIS = 150;

    /**
     * Cost when all slots are busy, in milliseconds, a fraction of the processing time of one call; it grows in
     * proportion to the busy slots.
     */
    private static final double BUSY_SLOTS_COST_MILLIS = 20;

    /** Expected processing time of a call to a plain service, in milliseconds, from the platform's data sheets. */
    private static final double EXPECTED_CALL_MILLIS = 80;

    /** How long a load report is valid, in milliseconds. */
    private static final long LOAD_VALIDITY_MILLIS = 400;

    /**
     * The range of a random cost, in milliseconds, so that routers do not all select the same of several equal
     * upstreams.
     */
    private static final double RANDOM_COST_MILLIS = 2;

    private final SplittableRandom random;

    /**
     * The upstream selected for a request, with the expected cost.
     *
     * @param upstream the upstream
     * @param chain the prompt with the keys under which that upstream's cache finds it
     * @param predictedMillis the expected time to the first event or the answer
     * @param uncachedTokens prompt tokens that are expected to need prefill
     * @param uncachedSharedTokens shared tokens among them
     * @param newMemoryTokens prompt tokens that need new KV memory, as they belong only to this request or are not
     *     cached
     * @param fetchFrom the address of the engine or KV cache store that may hold shared parts that the upstream lacks
     * @param saveTo the address of the KV cache store that is to save shared parts prefilled by the upstream
     */
    record Placement(
            UpstreamState upstream,
            PromptChain chain,
            double predictedMillis,
            long uncachedTokens,
            long uncachedSharedTokens,
            long newMemoryTokens,
            Optional<String> fetchFrom,
            Optional<String> saveTo) {

        private Placement withFetchFrom(Optional<String> source) {
            return new Placement(
                    upstream,
                    chain,
                    predictedMillis,
                    uncachedTokens,
                    uncachedSharedTokens,
                    newMemoryTokens,
                    source,
                    saveTo);
        }
    }

    /** The placement on another router, which selects the upstream itself. */
    static Placement onRouter(UpstreamState router) {
        return new Placement(router, PromptChain.EMPTY, 0, 0, 0, 0, Optional.empty(), Optional.empty());
    }

    /**
     * Inputs of a placement in addition to the upstreams.
     *
     * @param nowMillis the time
     * @param weightsCost the cost of a version of the weights, in milliseconds
     * @param fetchTokensPerMillisecond how fast engines fetch cached parts, or 0 when they do not
     * @param engineMemoryTokens KV memory of an engine, in tokens
     * @param kvCacheStores the KV cache stores
     * @param partialReports whether routers hear of a part of the cached parts only, as in a fleet with relays
     */
    record Conditions(
            long nowMillis,
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

    /** Where an engine fetches parts that it lacks, and where it saves those that it prefills. */
    private record Transfers(
            long fetchedTokens, double fetchMillis, Optional<String> fetchFrom, Optional<String> saveTo) {}

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
            double queueMillis = Math.max(0, busySlots + 1 - slots) * EXPECTED_CALL_MILLIS / slots;
            double cost = queueMillis
                    + BUSY_SLOTS_COST_MILLIS * busySlots / slots
                    + FAILURE_COST_MILLIS * upstream.failureRate
                    + random.nextDouble(RANDOM_COST_MILLIS);
            double predictedMillis = queueMillis + EXPECTED_CALL_MILLIS;
            Placement place = new Placement(
                    upstream, PromptChain.EMPTY, predictedMillis, 0, 0, 0, Optional.empty(), Optional.empty());
            choice.add(upstream.domain(), place, cost, predictedMillis, 0);
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
        Optional<UpstreamState> home = homeEngine(call, candidates, chains, newestVersion);
        for (UpstreamState upstream : candidates) {
            Placement placement = evaluate(call, upstream, candidates, chains, conditions);
            boolean isHome = home.isPresent() && home.get() == upstream;
            double repeatedPrefillTokens = placement.uncachedSharedTokens() * (isHome ? 1 - HOME_CACHED_FRACTION : 1);
            double homeSavingMillis = isHome
                    ? HOME_CACHED_FRACTION * placement.uncachedSharedTokens() / PREFILL_TOKENS_PER_MILLISECOND
                    : 0;
            double repeatedPrefillMillis = REPEATED_PREFILL_COST_MILLIS_PER_TOKEN * repeatedPrefillTokens;
            double cost = placement.predictedMillis()
                    - homeSavingMillis
                    + repeatedPrefillMillis
                    + FAILURE_COST_MILLIS * upstream.failureRate
                    + conditions.weightsCost().applyAsDouble(weightVersion(upstream, call))
                    + BUSY_SLOTS_COST_MILLIS * busySlots(upstream, conditions.nowMillis()) / slots(upstream)
                    + random.nextDouble(RANDOM_COST_MILLIS);
            double partsMillis = repeatedPrefillMillis
                    + placement.uncachedSharedTokens() / PREFILL_TOKENS_PER_MILLISECOND
                    - homeSavingMillis;
            choice.add(upstream.domain(), placement, cost, placement.predictedMillis(), partsMillis);
        }
        return choice.select()
                .map(placement -> conditions.partialReports()
                        ? placement.withFetchFrom(fetchSource(placement, home, call, conditions))
                        : placement);
    }

    /**
     * Returns where to fetch missing shared parts from. If no report names a holder, this is the session's home engine,
     * or the KV cache store if the request is placed on the home engine. A fetch in vain costs a millisecond.
     */
    private static Optional<String> fetchSource(
            Placement placement, Optional<UpstreamState> home, ForwardedCall call, Conditions conditions) {
        if (placement.fetchFrom().isPresent()
                || placement.uncachedSharedTokens() <= MINIMUM_FETCHED_TOKENS
                || conditions.fetchTokensPerMillisecond() <= 0) {
            return placement.fetchFrom();
        }
        boolean isHome = home.filter(engine -> engine == placement.upstream()).isPresent();
        return isHome
                ? placement.saveTo()
                : home.filter(engine -> weightVersion(engine, call) == weightVersion(placement.upstream(), call))
                        .map(engine -> engine.entry.address());
    }

    /**
     * Predicts the time of a request on one engine, including the fetch of parts from another engine or a KV cache
     * store.
     */
    private static Placement evaluate(
            ForwardedCall call,
            UpstreamState upstream,
            List<UpstreamState> candidates,
            PromptChains chains,
            Conditions conditions) {
        long version = weightVersion(upstream, call);
        PromptChain chain = chains.forWeights(version);
        long cachedTokens = upstream.cache.cachedTokens(chain.shared());
        Transfers transfers = transfers(chain, cachedTokens, upstream, candidates, conditions, call);
        long fetchedTokens = transfers.fetchedTokens();
        long uncachedTokens = Math.max(0, Math.max(chain.tokens(), call.inputTokens()) - cachedTokens - fetchedTokens);
        boolean isShort = isShort(call.inputTokens());
        double waitMillis =
                upstream.pendingPromptTokens(conditions.nowMillis(), isShort) / PREFILL_TOKENS_PER_MILLISECOND;
        long newMemoryTokens =
                Math.max(0, chain.tokens() - chain.sharedTokens()) + Math.max(0, chain.sharedTokens() - cachedTokens);
        boolean slotsTaken = busySlots(upstream, conditions.nowMillis()) >= slots(upstream);
        double usedMemoryTokens = upstream.memoryTokens(conditions.nowMillis()) + newMemoryTokens;
        boolean memoryTaken = usedMemoryTokens > conditions.engineMemoryTokens() * RUNNING_MEMORY_FRACTION;
        double predictedMillis = waitMillis
                + upstream.stallMillis(conditions.nowMillis(), isShort)
                + queueCostMillis(upstream, conditions.nowMillis())
                + (slotsTaken || memoryTaken ? FULL_ENGINE_COST_MILLIS : 0)
                + transfers.fetchMillis()
                + uncachedTokens / PREFILL_TOKENS_PER_MILLISECOND;
        long uncachedSharedTokens = Math.max(0, chain.sharedTokens() - cachedTokens - fetchedTokens);
        return new Placement(
                upstream,
                chain,
                predictedMillis,
                uncachedTokens,
                uncachedSharedTokens,
                newMemoryTokens,
                transfers.fetchFrom(),
                transfers.saveTo());
    }

    /** Selects the engine or KV cache store with the most of the shared parts that an engine lacks. */
    private static Transfers transfers(
            PromptChain chain,
            long cachedTokens,
            UpstreamState upstream,
            List<UpstreamState> candidates,
            Conditions conditions,
            ForwardedCall call) {
        List<PromptChain.Link> shared = chain.shared();
        long missingTokens = chain.sharedTokens() - cachedTokens;
        if (missingTokens <= MINIMUM_FETCHED_TOKENS || conditions.fetchTokensPerMillisecond() <= 0) {
            return new Transfers(0, 0, Optional.empty(), Optional.empty());
        }
        long version = weightVersion(upstream, call);
        long fetchedTokens = 0;
        double bandwidthFraction = FETCH_BANDWIDTH_FRACTION;
        Optional<String> fetchFrom = Optional.empty();
        for (UpstreamState source : candidates) {
            boolean usable = source != upstream && weightVersion(source, call) == version;
            long additionalTokens = usable ? source.cache.cachedTokens(shared) - cachedTokens : 0;
            if (additionalTokens > Math.max(fetchedTokens, MINIMUM_FETCHED_TOKENS)) {
                fetchedTokens = additionalTokens;
                fetchFrom = Optional.of(source.entry.address());
            }
        }
        for (KvCacheStore store : conditions.kvCacheStores()) {
            long additionalTokens = store.view().cachedTokens(shared) - cachedTokens;
            if (additionalTokens > fetchedTokens + MINIMUM_FETCHED_TOKENS) {
                fetchedTokens = additionalTokens;
                bandwidthFraction = STORE_FETCH_BANDWIDTH_FRACTION;
                fetchFrom = Optional.of(store.address());
            }
        }
        boolean prefillsMore = missingTokens - fetchedTokens > MINIMUM_FETCHED_TOKENS;
        Optional<String> saveTo = prefillsMore ? saveTo(chain, conditions) : Optional.empty();
        double fetchMillis =
                fetchedTokens == 0 ? 0 : fetchedTokens / (conditions.fetchTokensPerMillisecond() * bandwidthFraction);
        return new Transfers(fetchedTokens, fetchMillis, fetchFrom, saveTo);
    }

    private static Optional<String> saveTo(PromptChain chain, Conditions conditions) {
        List<KvCacheStore> reporting = conditions.kvCacheStores().stream()
                .filter(store -> store.view().hasFreshReport(conditions.nowMillis()))
                .toList();
        return Rendezvous.first(chain.sessionKey(), reporting, KvCacheStore::address)
                .map(KvCacheStore::address);
    }

    private static double queueCostMillis(UpstreamState upstream, long nowMillis) {
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= nowMillis - LOAD_VALIDITY_MILLIS;
        return fresh ? upstream.load.waiting() * QUEUED_REQUEST_COST_MILLIS : 0;
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

    private Optional<UpstreamState> homeEngine(
            ForwardedCall call, List<UpstreamState> candidates, PromptChains chains, long newestVersion) {
        PromptChain chain = chains.forWeights(newestVersion);
        if (chain.sessionKey().isEmpty()) {
            return Optional.empty();
        }
        List<UpstreamState> newestEngines = new ArrayList<>();
        for (UpstreamState upstream : candidates) {
            if (weightVersion(upstream, call) == newestVersion) {
                newestEngines.add(upstream);
            }
        }
        return Rendezvous.first(
                chain.sessionKey(), newestEngines, upstream -> upstream.id().value());
    }

    private static long weightVersion(UpstreamState upstream, ForwardedCall call) {
        return upstream.weightVersions.getOrDefault(call.model(), 0L);
    }

    private static int busySlots(UpstreamState upstream, long nowMillis) {
        int knownBusy = upstream.running(nowMillis);
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= nowMillis - LOAD_VALIDITY_MILLIS;
        return fresh ? Math.max(knownBusy, upstream.load.running() + upstream.load.waiting()) : knownBusy;
    }
}
