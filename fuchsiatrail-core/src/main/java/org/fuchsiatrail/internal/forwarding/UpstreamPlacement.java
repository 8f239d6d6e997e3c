package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Places a request on the upstream that is expected to answer first.
 *
 * <p>Load pattern for model engines: sessions of long shared prompts at a load where reading every prompt whole would
 * exceed the engines. Each session has a home engine that all routers agree on, so that its shared parts are read once;
 * a request leaves its home only when waiting there costs more than reading the parts again elsewhere.
 *
 * <p>Load pattern for plain services: short calls on few slots; the least busy upstream of the own failure domain.
 */
final class UpstreamPlacement {

    /** Prompt tokens that an engine reads in a millisecond, from the users' sheets. */
    static final double READ_TOKENS_PER_MILLI = 38;

    /** Cost of another failure domain in milliseconds: a round trip of 1 to 3 ms, and the price of its bytes. */
    private static final double FAR_MILLIS = 4;

    /** The part of a link's speed that a fetch gets beside others and between failure domains. */
    private static final double FETCH_PART = 0.3;

    /** The same for a fetch from a store, whose link is slower and serves all engines. */
    private static final double STORE_FETCH_PART = 0.1;

    /** Shared tokens below which parts are read rather than fetched; a failed fetch costs a millisecond. */
    private static final long FEWEST_FETCHED_TOKENS = 64;

    /**
     * Cost of reading a shared token again, in milliseconds of a caller's wait: the users charge 1,000 of them like
     * half of a short prompt's worth, which is lost by coming 400 ms late.
     */
    private static final double READ_AGAIN_MILLIS = 0.2;

    /** The part of a session's shared tokens that its home is expected to hold when nothing is known. */
    private static final double HOME_PART = 0.8;

    /** Cost of an engine whose slots are all taken, in milliseconds; a short generation. */
    private static final double FULL_MILLIS = 300;

    /** The part of an engine's memory that running requests may take before new ones wait; the rest is cache. */
    private static final double RUNNING_MEMORY_PART = 0.6;

    /** Cost of each request in an engine's own queue, in milliseconds; reading a short prompt. */
    private static final double QUEUED_MILLIS = 30;

    /** The longest prompt that counts as short, in tokens; engines read about as many between two steps. */
    private static final long SHORT_PROMPT_TOKENS = 4_000;

    /** Cost of a certain failure, in milliseconds; an attempt that fails costs about a call's time. */
    private static final double FAILURE_MILLIS = 150;

    /** Cost of each slot taken, as a part of one call's work, in milliseconds for all slots. */
    private static final double BUSY_MILLIS = 20;

    /** Expected work of a call to a plain service, in milliseconds, from the users' sheets. */
    private static final double CALL_MILLIS = 80;

    /** How long a told load counts, in milliseconds. */
    private static final long LOAD_FRESH_MILLIS = 400;

    /** Differences of cost below this are left to chance, in milliseconds, so that routers do not move in step. */
    private static final double TIE_MILLIS = 2;

    private final FailureDomain own;
    private final SplittableRandom random;

    /**
     * Where a request goes.
     *
     * @param upstream the upstream
     * @param chain the prompt as that upstream's cache finds it
     * @param predictedMillis the expected time to the first event or the answer
     * @param uncachedTokens prompt tokens that are expected to be read
     * @param readSharedTokens shared tokens among them
     * @param ownTokens prompt tokens that belong to the request alone or are not cached
     * @param fetchFrom the address of the engine or store that may hold shared parts that the upstream lacks
     * @param saveTo the address of the store that is to keep shared parts that the upstream reads
     */
    record Placement(
            UpstreamState upstream,
            PromptChain chain,
            double predictedMillis,
            long uncachedTokens,
            long uncachedSharedTokens,
            long ownTokens,
            Optional<String> fetchFrom,
            Optional<String> saveTo) {}

    /**
     * What a placement goes by besides the upstreams.
     *
     * @param nowMillis the time
     * @param weightsCost the cost of a version of the weights, in milliseconds
     * @param fetchTokensPerMilli how fast engines fetch cached parts, or 0 when they do not
     * @param engineMemoryTokens KV memory of an engine, in tokens
     * @param keptCaches the stores of kept KV cache
     */
    record Conditions(
            long nowMillis,
            LongToDoubleFunction weightsCost,
            double fetchTokensPerMilli,
            long engineMemoryTokens,
            List<KeptCache> keptCaches) {}

    /**
     * A store of kept KV cache.
     *
     * @param address its IP address and port
     * @param view what is known of the parts it keeps
     */
    record KeptCache(String address, PromptCacheView view) {}

    /** Where an engine fetches parts that it lacks, and where it saves those it reads. */
    private record Transfers(long fetchedTokens, double fetchMillis, Optional<String> from, Optional<String> saveTo) {}

    /** Tells how a request's prompt is found in the cache of engines with certain weights. */
    @FunctionalInterface
    interface Chains {
        PromptChain forWeights(long version);
    }

    UpstreamPlacement(FailureDomain own, SplittableRandom random) {
        this.own = own;
        this.random = random;
    }

    /** Places a call to a plain service. */
    Optional<Placement> placeCall(List<UpstreamState> candidates, long nowMillis) {
        Placement best = null;
        double bestCost = Double.MAX_VALUE;
        for (UpstreamState upstream : candidates) {
            int slots = slots(upstream);
            int busy = busy(upstream, nowMillis);
            double queue = Math.max(0, busy + 1 - slots) * CALL_MILLIS / slots;
            double cost = queue
                    + far(upstream)
                    + BUSY_MILLIS * busy / slots
                    + FAILURE_MILLIS * upstream.failureRate
                    + random.nextDouble(TIE_MILLIS);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Placement(
                        upstream,
                        new PromptChain(List.of()),
                        queue + CALL_MILLIS,
                        0,
                        0,
                        0,
                        Optional.empty(),
                        Optional.empty());
            }
        }
        return Optional.ofNullable(best);
    }

    /** Places a request with a prompt. */
    Optional<Placement> placePrompt(
            ForwardedCall call, List<UpstreamState> candidates, Chains chains, Conditions conditions) {
        long newest = candidates.stream()
                .mapToLong(upstream -> version(upstream, call))
                .max()
                .orElse(0);
        Optional<UpstreamState> home = home(call, candidates, chains, newest);
        Placement best = null;
        double bestCost = Double.MAX_VALUE;
        for (UpstreamState upstream : candidates) {
            Placement choice = choice(call, upstream, candidates, chains, conditions);
            boolean isHome = home.isPresent() && home.get() == upstream;
            double readShared = choice.uncachedSharedTokens() * (isHome ? 1 - HOME_PART : 1);
            double homeGain = isHome ? HOME_PART * choice.uncachedSharedTokens() / READ_TOKENS_PER_MILLI : 0;
            double cost = choice.predictedMillis()
                    - homeGain
                    + READ_AGAIN_MILLIS * readShared
                    + far(upstream)
                    + FAILURE_MILLIS * upstream.failureRate
                    + conditions.weightsCost().applyAsDouble(version(upstream, call))
                    + BUSY_MILLIS * busy(upstream, conditions.nowMillis()) / slots(upstream)
                    + random.nextDouble(TIE_MILLIS);
            if (cost < bestCost) {
                bestCost = cost;
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Predicts how a request would fare on one engine, with the parts that it would fetch from another. */
    private static Placement choice(
            ForwardedCall call,
            UpstreamState upstream,
            List<UpstreamState> candidates,
            Chains chains,
            Conditions conditions) {
        long version = version(upstream, call);
        PromptChain chain = chains.forWeights(version);
        long cached = upstream.cache.cachedTokens(chain.shared());
        Transfers transfers = transfers(chain, cached, upstream, candidates, conditions, call);
        long fetched = transfers.fetchedTokens();
        long uncached = Math.max(0, Math.max(chain.tokens(), call.inputTokens()) - cached - fetched);
        boolean isShort = isShort(call.inputTokens());
        double wait = upstream.pendingPromptTokens(conditions.nowMillis(), isShort) / READ_TOKENS_PER_MILLI;
        long own = Math.max(0, chain.tokens() - chain.sharedTokens()) + Math.max(0, chain.sharedTokens() - cached);
        boolean slotsTaken = busy(upstream, conditions.nowMillis()) >= slots(upstream);
        double memory = upstream.memoryTokens(conditions.nowMillis()) + own;
        boolean memoryTaken = memory > conditions.engineMemoryTokens() * RUNNING_MEMORY_PART;
        double predicted = wait
                + upstream.stallMillis(conditions.nowMillis(), isShort)
                + queued(upstream, conditions.nowMillis())
                + (slotsTaken || memoryTaken ? FULL_MILLIS : 0)
                + transfers.fetchMillis()
                + uncached / READ_TOKENS_PER_MILLI;
        long readShared = Math.max(0, chain.sharedTokens() - cached - fetched);
        return new Placement(
                upstream, chain, predicted, uncached, readShared, own, transfers.from(), transfers.saveTo());
    }

    /** Finds the engine or store with the most of the shared parts that an engine lacks. */
    private static Transfers transfers(
            PromptChain chain,
            long cached,
            UpstreamState upstream,
            List<UpstreamState> candidates,
            Conditions conditions,
            ForwardedCall call) {
        List<PromptChain.Link> shared = chain.shared();
        long lacking = chain.sharedTokens() - cached;
        if (lacking <= FEWEST_FETCHED_TOKENS || conditions.fetchTokensPerMilli() <= 0) {
            return new Transfers(0, 0, Optional.empty(), Optional.empty());
        }
        long version = version(upstream, call);
        long fetched = 0;
        double part = FETCH_PART;
        Optional<String> from = Optional.empty();
        for (UpstreamState other : candidates) {
            boolean usable = other != upstream && version(other, call) == version;
            long more = usable ? other.cache.cachedTokens(shared) - cached : 0;
            if (more > Math.max(fetched, FEWEST_FETCHED_TOKENS)) {
                fetched = more;
                from = Optional.of(other.entry.address());
            }
        }
        for (KeptCache store : conditions.keptCaches()) {
            long more = store.view().cachedTokens(shared) - cached;
            if (more > fetched + FEWEST_FETCHED_TOKENS) {
                fetched = more;
                part = STORE_FETCH_PART;
                from = Optional.of(store.address());
            }
        }
        boolean readsMore = lacking - fetched > FEWEST_FETCHED_TOKENS;
        Optional<String> saveTo = readsMore ? saveTo(chain, conditions) : Optional.empty();
        double millis = fetched == 0 ? 0 : fetched / (conditions.fetchTokensPerMilli() * part);
        return new Transfers(fetched, millis, from, saveTo);
    }

    private static Optional<String> saveTo(PromptChain chain, Conditions conditions) {
        List<KeptCache> told = conditions.keptCaches().stream()
                .filter(store -> store.view().hasFreshReport(conditions.nowMillis()))
                .toList();
        return Rendezvous.first(chain.sessionKey(), told, KeptCache::address).map(KeptCache::address);
    }

    private static double queued(UpstreamState upstream, long nowMillis) {
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= nowMillis - LOAD_FRESH_MILLIS;
        return fresh ? upstream.load.waiting() * QUEUED_MILLIS : 0;
    }

    /** Tells prompts that engines read in one piece from long ones. */
    static boolean isShort(long inputTokens) {
        return inputTokens <= SHORT_PROMPT_TOKENS;
    }

    private static int slots(UpstreamState upstream) {
        return Math.max(1, upstream.entry.slots());
    }

    private Optional<UpstreamState> home(
            ForwardedCall call, List<UpstreamState> candidates, Chains chains, long newest) {
        PromptChain chain = chains.forWeights(newest);
        if (chain.sessionKey().isEmpty()) {
            return Optional.empty();
        }
        List<UpstreamState> current = new ArrayList<>();
        for (UpstreamState upstream : candidates) {
            if (version(upstream, call) == newest) {
                current.add(upstream);
            }
        }
        return Rendezvous.first(
                chain.sessionKey(), current, upstream -> upstream.id().value());
    }

    private static long version(UpstreamState upstream, ForwardedCall call) {
        return upstream.weightVersions.getOrDefault(call.model(), 0L);
    }

    private double far(UpstreamState upstream) {
        return upstream.domain().equals(own) ? 0 : FAR_MILLIS;
    }

    private static int busy(UpstreamState upstream, long nowMillis) {
        int seen = upstream.running(nowMillis);
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= nowMillis - LOAD_FRESH_MILLIS;
        return fresh ? Math.max(seen, upstream.load.running() + upstream.load.waiting()) : seen;
    }
}
