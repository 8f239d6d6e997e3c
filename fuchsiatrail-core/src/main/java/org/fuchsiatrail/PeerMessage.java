package org.fuchsiatrail;

import java.util.List;

/** What routers say to each other. */
public sealed interface PeerMessage {

    /**
     * A router is alive, and what it knows.
     *
     * @param vm the sender, with its own address
     * @param incarnation the life of the sender
     * @param sequence the number of this heartbeat in this life
     * @param revision the configuration revision in force at the sender
     * @param stopping whether it is stopping
     * @param loads load reports of the engines that the sender reads
     * @param assignedTokens prompt tokens the sender has in flight
     * @param draining upstreams that an operator ordered to drain
     * @param leaving upstreams that the sender itself saw leaving, by their report or on the platform's list
     * @param suspicions requests that ran on engines that crashed
     * @param reservations times to come back given since the last heartbeat
     */
    record Heartbeat(
            EntryVm vm,
            long incarnation,
            long sequence,
            long revision,
            boolean stopping,
            List<LoadReport> loads,
            List<AssignedTokens> assignedTokens,
            List<String> draining,
            List<String> leaving,
            List<Suspicion> suspicions,
            List<RetryReservation> reservations)
            implements PeerMessage {}

    /**
     * A time to come back that a refused request was given.
     *
     * @param fingerprint the hash of the request's fingerprint
     * @param atMillis when it is to come back
     */
    record RetryReservation(long fingerprint, long atMillis) {}

    /**
     * Work that a router has in flight on an engine.
     *
     * @param engine the engine
     * @param tokens uncached prompt tokens not yet computed
     */
    record AssignedTokens(UpstreamId engine, long tokens) {}

    /**
     * How much a request is suspected of crashing engines.
     *
     * @param fingerprint customer and digest of the request
     * @param crashes each engine life that ended while it ran the request, as engine and incarnation
     */
    record Suspicion(String fingerprint, List<String> crashes) {}

    /**
     * Asks which engines hold a prefix.
     *
     * @param lookup the number of the question
     * @param checkpoints the hashes of the prompt's checkpoints, shortest first
     * @param traceparent the W3C trace context of the request behind it, or an empty text
     */
    record AskDirectory(long lookup, long[] checkpoints, String traceparent) implements PeerMessage {}

    /**
     * Answers which engines hold a prefix.
     *
     * @param lookup the number of the question
     * @param matches the engines that hold some of it
     */
    record TellDirectory(long lookup, List<PrefixMatch> matches) implements PeerMessage {}

    /**
     * How much of a prefix an engine holds.
     *
     * @param engine the engine
     * @param incarnation the life of the engine that holds it
     * @param checkpoints how many checkpoints it holds, from the start
     */
    record PrefixMatch(UpstreamId engine, long incarnation, int checkpoints) {}

    /**
     * Reports cache events to the router that keeps them.
     *
     * @param engine the engine
     * @param incarnation the life of the engine
     * @param runs what was stored and evicted
     */
    record ReportCache(UpstreamId engine, long incarnation, List<CacheRun> runs) implements PeerMessage {}

    /**
     * Hands on a configuration.
     *
     * @param revision its revision
     * @param document the stored form
     */
    record TellConfiguration(long revision, byte[] document) implements PeerMessage {}

    /**
     * Asks for the configuration.
     *
     * @param knownRevision the revision the sender has
     */
    record AskConfiguration(long knownRevision) implements PeerMessage {}

    /**
     * Asks the router that groups a ledger shard's writes to claim a key.
     *
     * @param claim the claim
     * @param traceparent the W3C trace context of the request behind it, or an empty text
     */
    record AskClaim(LedgerClaim claim, String traceparent) implements PeerMessage {}

    /**
     * Answers a claim.
     *
     * @param claimId the id of the claim
     * @param verdict the answer
     */
    record TellClaim(String claimId, ClaimVerdict verdict) implements PeerMessage {}

    /**
     * Reports how a claimed call ended.
     *
     * @param end the end
     */
    record TellEnd(ClaimEnd end) implements PeerMessage {}

    /**
     * Answers that the end of a claimed call is written.
     *
     * @param claimId the id of the claim
     */
    record EndRecorded(String claimId) implements PeerMessage {}

    /**
     * What routers that forward opaque calls tell each other.
     *
     * @param vm the sender, with its own address
     * @param revision the store's revision up to which the sender knows all items
     * @param wantsItems whether the sender asks for the items changed after that revision
     * @param coversUpTo the revision up to which {@code items} are complete, or 0 when they are not an answer
     * @param items items of the store as they were written
     * @param work what the sender has in flight on each upstream
     * @param weights versions of weights that the sender has seen on engines
     * @param switching engines that take new weights now
     * @param crashes requests that ran on upstreams that crashed
     * @param reads prompt parts that engines have read since the last news
     * @param domains what all routers of a failure domain together have in flight, from a relay
     * @param caches what changed in caches that the sender reads
     */
    record ForwardingNews(
            EntryVm vm,
            long revision,
            boolean wantsItems,
            long coversUpTo,
            List<RelayedItem> items,
            List<UpstreamWork> work,
            List<SeenWeights> weights,
            List<Switching> switching,
            List<SeenCrash> crashes,
            List<ReadParts> reads,
            List<DomainWork> domains,
            List<CacheChanges> caches)
            implements PeerMessage {

        /** Takes lists that are missing as empty. */
        public ForwardingNews {
            items = items == null ? List.of() : items;
            work = work == null ? List.of() : work;
            weights = weights == null ? List.of() : weights;
            switching = switching == null ? List.of() : switching;
            crashes = crashes == null ? List.of() : crashes;
            reads = reads == null ? List.of() : reads;
            domains = domains == null ? List.of() : domains;
            caches = caches == null ? List.of() : caches;
        }

        /**
         * Begins news that say nothing yet.
         *
         * @param vm the sender, with its own address
         * @param revision the store's revision up to which the sender knows all items
         * @return a builder
         */
        public static ForwardingNewsBuilder builder(EntryVm vm, long revision) {
            return new ForwardingNewsBuilder(vm, revision);
        }
    }

    /**
     * An item of the store as it was written.
     *
     * @param key its key
     * @param revision its last change
     * @param removed whether that change removed it
     * @param value its bytes
     */
    record RelayedItem(String key, long revision, boolean removed, byte[] value) {}

    /**
     * What a router has in flight on an upstream.
     *
     * @param upstream the upstream
     * @param running requests without an end
     * @param bound those of them that cannot go on elsewhere
     * @param promptTokens prompt tokens that are still to be read
     * @param shortPromptTokens those of them that belong to short prompts
     * @param memoryTokens KV memory that they need besides cached parts, in tokens
     */
    record UpstreamWork(
            UpstreamId upstream,
            int running,
            int bound,
            long promptTokens,
            long shortPromptTokens,
            long memoryTokens) {}

    /**
     * What all routers of a failure domain have in flight.
     *
     * @param domain the failure domain
     * @param work their work on each upstream, summed
     */
    record DomainWork(FailureDomain domain, List<UpstreamWork> work) {

        /** Takes a missing list as empty. */
        public DomainWork {
            work = work == null ? List.of() : work;
        }
    }

    /**
     * Prompt parts that an engine has read.
     *
     * @param engine the engine
     * @param keys the parts, each with all parts before it
     * @param tokens the length of each part
     */
    record ReadParts(UpstreamId engine, long[] keys, long[] tokens) {}

    /**
     * Changes in the cache of an engine or of a store of kept KV cache.
     *
     * @param holder the engine or store
     * @param anew whether all that was known of it before is void
     * @param keys the parts
     * @param tokens the stored tokens of each part; 0 when it was dropped
     * @param reader the router that read them, in this life
     * @param number counts what that router has told, so that each is taken once
     */
    record CacheChanges(UpstreamId holder, boolean anew, long[] keys, long[] tokens, String reader, long number) {}

    /**
     * The version of weights that an engine was seen with.
     *
     * @param engine the engine
     * @param model the model
     * @param version the version
     */
    record SeenWeights(UpstreamId engine, String model, long version) {}

    /**
     * An engine that takes new weights.
     *
     * @param engine the engine
     * @param millisLeft how much longer it gets no work unless it is told again, in milliseconds
     */
    record Switching(UpstreamId engine, long millisLeft) {}

    /**
     * A request that ran on an upstream when it crashed.
     *
     * @param fingerprint the request
     * @param upstream the life of the upstream that ended
     */
    record SeenCrash(long fingerprint, UpstreamId upstream) {}
}
