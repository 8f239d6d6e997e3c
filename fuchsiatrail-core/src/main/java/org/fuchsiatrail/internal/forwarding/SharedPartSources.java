package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Where the shared parts of one request's prompt are cached, for engines of one weight version: on the holders that all
 * routers agree on, and on the engine or KV cache store of which most of them is known.
 */
final class SharedPartSources {

    /**
     * The fraction of the link bandwidth that one fetch gets, given concurrent fetches and links between failure
     * domains.
     */
    private static final double FETCH_BANDWIDTH_FRACTION = 0.3;

    /** The same for a fetch from a KV cache store, whose link is slower and shared by all engines. */
    private static final double STORE_FETCH_BANDWIDTH_FRACTION = 0.1;

    /** Up to this number of shared tokens, prefill is preferred to a fetch; a failed fetch costs a millisecond. */
    private static final long MINIMUM_FETCHED_TOKENS = 64;

    private final PromptChain chain;
    private final List<PromptChain.Link> shared;
    private final long tokens;
    private final long sharedTokens;
    private final List<UpstreamState> holders;
    private final UpstreamPlacement.Conditions conditions;
    private final Optional<String> store;
    private long engineTokens;
    private Optional<String> engineAddress = Optional.empty();
    private long storeTokens;
    private Optional<String> storeAddress = Optional.empty();

    /** Where an engine fetches parts that it lacks, and where it saves those that it prefills. */
    record Transfers(long fetchedTokens, double fetchMillis, Optional<String> fetchFrom, Optional<String> saveTo) {

        private static final Transfers NONE = new Transfers(0, 0, Optional.empty(), Optional.empty());
    }

    /**
     * Finds the sources among engines of one weight version.
     *
     * @param chain the prompt
     * @param engines the engines
     * @param holders the engines that are to hold the shared parts, the preferred one first
     * @param conditions further inputs of the placement
     */
    SharedPartSources(
            PromptChain chain,
            List<UpstreamState> engines,
            List<UpstreamState> holders,
            UpstreamPlacement.Conditions conditions) {
        this.chain = chain;
        this.shared = chain.shared();
        this.tokens = chain.tokens();
        this.sharedTokens = chain.sharedTokens();
        this.holders = holders;
        this.conditions = conditions;
        this.store = sharedTokens > MINIMUM_FETCHED_TOKENS ? store() : Optional.empty();
        if (fetches() && sharedTokens > MINIMUM_FETCHED_TOKENS) {
            findReported(engines);
        }
    }

    private void findReported(List<UpstreamState> engines) {
        for (UpstreamState engine : engines) {
            long cachedTokens = engine.cache.cachedTokens(shared);
            if (cachedTokens > engineTokens) {
                engineTokens = cachedTokens;
                engineAddress = Optional.of(engine.entry.address());
            }
        }
        for (UpstreamPlacement.KvCacheStore kvCacheStore : conditions.kvCacheStores()) {
            long cachedTokens = kvCacheStore.view().cachedTokens(shared);
            if (cachedTokens > storeTokens) {
                storeTokens = cachedTokens;
                storeAddress = Optional.of(kvCacheStore.address());
            }
        }
    }

    private Optional<String> store() {
        List<UpstreamPlacement.KvCacheStore> reporting = conditions.kvCacheStores().stream()
                .filter(candidate -> candidate.view().hasFreshReport(conditions.nowMillis()))
                .toList();
        return Rendezvous.first(chain.sessionKey(), reporting, UpstreamPlacement.KvCacheStore::address)
                .map(UpstreamPlacement.KvCacheStore::address);
    }

    private boolean fetches() {
        return conditions.fetchTokensPerMillisecond() > 0;
    }

    PromptChain chain() {
        return chain;
    }

    List<PromptChain.Link> shared() {
        return shared;
    }

    long tokens() {
        return tokens;
    }

    long sharedTokens() {
        return sharedTokens;
    }

    boolean isHolder(UpstreamState engine) {
        return holders.contains(engine);
    }

    /** Returns the tokens that a holder is expected to have cached where reports do not tell it. */
    long expectedTokens(UpstreamState holder) {
        return conditions.partialReports() ? Math.round(holder.model.hitFraction() * sharedTokens) : 0;
    }

    /** Selects where an engine fetches the shared parts that it lacks; a fetch in vain costs a millisecond. */
    Transfers transfers(UpstreamState engine, long cachedTokens) {
        long missingTokens = sharedTokens - cachedTokens;
        if (missingTokens <= MINIMUM_FETCHED_TOKENS || !fetches()) {
            return Transfers.NONE;
        }
        long fetchedTokens = 0;
        double bandwidthFraction = FETCH_BANDWIDTH_FRACTION;
        Optional<String> fetchFrom = Optional.empty();
        if (engineTokens - cachedTokens > MINIMUM_FETCHED_TOKENS) {
            fetchedTokens = engineTokens - cachedTokens;
            fetchFrom = engineAddress;
        }
        if (storeTokens - cachedTokens > fetchedTokens + MINIMUM_FETCHED_TOKENS) {
            fetchedTokens = storeTokens - cachedTokens;
            bandwidthFraction = STORE_FETCH_BANDWIDTH_FRACTION;
            fetchFrom = storeAddress;
        }
        Optional<String> saveTo = missingTokens - fetchedTokens > MINIMUM_FETCHED_TOKENS ? store : Optional.empty();
        if (conditions.partialReports() && !holders.isEmpty() && engine != holders.getFirst()) {
            UpstreamState holder = holders.getFirst();
            long heldTokens = expectedTokens(holder) - cachedTokens;
            if (fetchFrom.isEmpty() || heldTokens > fetchedTokens + MINIMUM_FETCHED_TOKENS) {
                fetchedTokens = Math.max(fetchedTokens, heldTokens);
                bandwidthFraction = FETCH_BANDWIDTH_FRACTION;
                fetchFrom = Optional.of(holder.entry.address());
            }
        } else if (conditions.partialReports() && fetchFrom.isEmpty() && !holders.isEmpty()) {
            fetchFrom = saveTo;
        }
        double fetchMillis = fetchedTokens / (conditions.fetchTokensPerMillisecond() * bandwidthFraction);
        return new Transfers(fetchedTokens, fetchMillis, fetchFrom, saveTo);
    }
}
