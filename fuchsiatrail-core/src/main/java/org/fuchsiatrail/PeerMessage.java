package org.fuchsiatrail;

import java.util.List;

import org.fuchsiatrail.forwarding.StoreReply;

/**
 * A message between routers.
 *
 * <p>The simple names of the records and of their components are the names on the wire.
 */
public sealed interface PeerMessage {

    /**
     * Reports that a router is alive, and the state that it shares with peers.
     *
     * @param vm the sender, with its own address
     * @param incarnation the incarnation of the sender
     * @param sequence the sequence number of this heartbeat within the incarnation
     * @param revision the configuration revision in force at the sender
     * @param stopping whether the sender is shutting down gracefully
     * @param loads load reports of the engines that the sender queries
     * @param assignedTokens the prompt tokens that the sender has in flight on each engine
     * @param draining upstreams that an operator requested to drain
     * @param leaving upstreams that are draining according to their own load report or the platform's list
     * @param suspicions requests that are suspected of crashing engines
     * @param reservations retry times assigned since the last heartbeat
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
     * A retry time (Retry-After) that was assigned to a refused request.
     *
     * @param fingerprint the hash of the request's fingerprint
     * @param atMillis when the request is expected again, as a time in milliseconds
     */
    record RetryReservation(long fingerprint, long atMillis) {}

    /**
     * Work that a router has in flight on an engine.
     *
     * @param engine the engine
     * @param tokens the number of uncached prompt tokens whose prefill is not complete
     */
    record AssignedTokens(UpstreamId engine, long tokens) {}

    /**
     * The crashes of engines during which a request was running.
     *
     * @param fingerprint the customer and digest of the request
     * @param crashes each engine incarnation that ended while it ran the request, as engine and incarnation
     * @param agesMillis the time since each of these crashes, in milliseconds; empty from a router that does not tell
     */
    record Suspicion(String fingerprint, List<String> crashes, List<Long> agesMillis) {

        /** Replaces missing ages with an empty list. */
        public Suspicion {
            agesMillis = agesMillis == null ? List.of() : agesMillis;
        }

        /**
         * Returns the time since a crash.
         *
         * @param index the position of the crash in the list
         * @return milliseconds, or 0 when the sender does not tell the age
         */
        public long ageMillis(int index) {
            return index < agesMillis.size() ? agesMillis.get(index) : 0;
        }

        /**
         * Returns the time since the last crash.
         *
         * @return milliseconds, or 0 when the sender does not tell ages
         */
        public long lastCrashAgeMillis() {
            return agesMillis.stream().mapToLong(Long::longValue).min().orElse(0);
        }
    }

    /**
     * Queries a router for the engines that hold a prefix, according to its partition of the cache directory.
     *
     * @param lookup the number of the lookup
     * @param checkpoints the hashes of the prompt's checkpoints, shortest first
     * @param traceparent the W3C trace context of the request that caused this message, or an empty string
     */
    record AskDirectory(long lookup, long[] checkpoints, String traceparent) implements PeerMessage {}

    /**
     * Responds to {@link AskDirectory} with the engines that hold a prefix.
     *
     * @param lookup the number of the lookup
     * @param matches the engines that hold at least a part of the prefix
     */
    record TellDirectory(long lookup, List<PrefixMatch> matches) implements PeerMessage {}

    /**
     * The length of the prefix that an engine holds.
     *
     * @param engine the engine
     * @param incarnation the incarnation of the engine
     * @param checkpoints the number of checkpoints that the engine holds, counted from the start
     */
    record PrefixMatch(UpstreamId engine, long incarnation, int checkpoints) {}

    /**
     * Reports cache events to the router that owns the prefix chains in the cache directory.
     *
     * @param engine the engine
     * @param incarnation the incarnation of the engine
     * @param runs the stored and evicted checkpoints
     */
    record ReportCache(UpstreamId engine, long incarnation, List<CacheRun> runs) implements PeerMessage {}

    /**
     * Propagates a configuration.
     *
     * @param revision the revision
     * @param document the configuration in its stored form
     */
    record TellConfiguration(long revision, byte[] document) implements PeerMessage {}

    /**
     * Requests the configuration.
     *
     * @param knownRevision the revision that the sender has
     */
    record AskConfiguration(long knownRevision) implements PeerMessage {}

    /**
     * Requests a verdict on a claim from the preferred writer of its ledger shard, which batches the shard's writes.
     *
     * @param claim the claim
     * @param traceparent the W3C trace context of the request that caused this message, or an empty string
     */
    record AskClaim(LedgerClaim claim, String traceparent) implements PeerMessage {}

    /**
     * Responds to {@link AskClaim} with the verdict.
     *
     * @param claimId the id of the claim
     * @param verdict the decision on the claim
     */
    record TellClaim(String claimId, ClaimVerdict verdict) implements PeerMessage {}

    /**
     * Reports the outcome of a claimed call to the preferred writer of the ledger shard.
     *
     * @param end the outcome
     */
    record TellEnd(ClaimOutcome end) implements PeerMessage {}

    /**
     * Acknowledges {@link TellEnd}: the outcome of the claimed call is written.
     *
     * @param claimId the id of the claim
     */
    record EndRecorded(String claimId) implements PeerMessage {}

    /**
     * A peer update between routers that forward opaque calls.
     *
     * @param vm the sender, with its own address
     * @param revision the store revision up to which the sender has received all items
     * @param wantsItems whether the sender requests the items that changed after that revision
     * @param coversUpTo the revision up to which {@code items} are complete, or 0 when they do not answer a request
     * @param items items of the platform's store, with their raw values
     * @param work the work that the sender has in flight on each upstream
     * @param weights versions of weights that the sender observed on engines
     * @param switching engines that are switching to new weights
     * @param crashes requests that were running on upstreams when these crashed
     * @param reads prompt parts that engines have prefilled since the last update
     * @param domains the total work that all routers of a failure domain have in flight, as sent by a relay
     * @param caches changes in the caches whose events the sender reads
     * @param clearedCrashes crashes that requests did not cause, since they completed afterwards
     * @param clearedParts keys of prompt parts that crash no upstream, since requests with them completed
     * @param limits limits of requests that upstreams named in their answers
     * @param startedStreams streams that upstreams began, with the version of their software
     * @param streamQueries streams whose software version the sender needs to know
     * @param streamReplies replies to such queries
     * @param targetAges how long ago the target versions of weights were set
     * @param pauses the pauses that upstreams asked for
     * @param leaving the incarnations of upstreams that said that they are leaving
     * @param openStreamQueries replaced version shares whose open streams the sender asks for
     * @param openStreamReplies replies to such queries
     * @param storeEraNumber one more than the era of the store to which the revisions belong; 0 if that is not known,
     *     and in updates of older builds
     * @param workByChanges whether the sender tells its work by the three lists that follow, which contain only what
     *     has changed; otherwise {@code work} and {@code domains} are complete
     * @param subtreeWork changed work of the sender and of all routers that report through it
     * @param domainWork changed work of all routers of the sender's failure domain
     * @param fleetWork changed work of all routers
     * @param countsUse whether the sender has customers with limits and tells their use in each heartbeat
     * @param subtreeRouters the number of routers of which {@code subtreeUse} is the use; 0 if it is not told
     * @param subtreeUse the use of limited customers at the sender and at all routers that report through it
     * @param fleetRouters the number of routers of which {@code fleetUse} is the use; 0 if it is not told
     * @param fleetUse the use of limited customers at all routers
     * @param darkUpstreams upstreams that a router could not reach while it reached others; older builds don't tell it
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
            List<CacheChanges> caches,
            List<SeenCrash> clearedCrashes,
            List<Long> clearedParts,
            List<NamedLimit> limits,
            List<StartedStreams> startedStreams,
            List<StreamQuery> streamQueries,
            List<StreamReply> streamReplies,
            List<TargetAge> targetAges,
            List<SeenPause> pauses,
            List<UpstreamId> leaving,
            List<OpenStreamQuery> openStreamQueries,
            List<OpenStreamReply> openStreamReplies,
            long storeEraNumber,
            boolean workByChanges,
            List<WorkChange> subtreeWork,
            List<WorkChange> domainWork,
            List<WorkChange> fleetWork,
            boolean countsUse,
            long subtreeRouters,
            List<CustomerUse> subtreeUse,
            long fleetRouters,
            List<CustomerUse> fleetUse,
            List<DarkUpstream> darkUpstreams)
            implements PeerMessage {

        /** Replaces missing lists with empty ones. */
        public ForwardingNews {
            items = items == null ? List.of() : items;
            work = work == null ? List.of() : work;
            weights = weights == null ? List.of() : weights;
            switching = switching == null ? List.of() : switching;
            crashes = crashes == null ? List.of() : crashes;
            reads = reads == null ? List.of() : reads;
            domains = domains == null ? List.of() : domains;
            caches = caches == null ? List.of() : caches;
            clearedCrashes = clearedCrashes == null ? List.of() : clearedCrashes;
            clearedParts = clearedParts == null ? List.of() : clearedParts;
            limits = limits == null ? List.of() : limits;
            startedStreams = startedStreams == null ? List.of() : startedStreams;
            streamQueries = streamQueries == null ? List.of() : streamQueries;
            streamReplies = streamReplies == null ? List.of() : streamReplies;
            targetAges = targetAges == null ? List.of() : targetAges;
            pauses = pauses == null ? List.of() : pauses;
            leaving = leaving == null ? List.of() : leaving;
            openStreamQueries = openStreamQueries == null ? List.of() : openStreamQueries;
            openStreamReplies = openStreamReplies == null ? List.of() : openStreamReplies;
            subtreeWork = subtreeWork == null ? List.of() : subtreeWork;
            domainWork = domainWork == null ? List.of() : domainWork;
            fleetWork = fleetWork == null ? List.of() : fleetWork;
            subtreeUse = subtreeUse == null ? List.of() : subtreeUse;
            fleetUse = fleetUse == null ? List.of() : fleetUse;
            darkUpstreams = darkUpstreams == null ? List.of() : darkUpstreams;
        }

        /**
         * Returns the era of the store to which the revisions belong.
         *
         * @return the era, or {@link StoreReply#UNKNOWN_ERA}
         */
        public long storeEra() {
            return storeEraNumber == 0 ? StoreReply.UNKNOWN_ERA : storeEraNumber - 1;
        }

        /**
         * Returns a builder of an update in which all lists are empty.
         *
         * @param vm the sender, with its own address
         * @param revision the store revision up to which the sender has received all items
         * @return a builder
         */
        public static ForwardingNewsBuilder builder(EntryVm vm, long revision) {
            return new ForwardingNewsBuilder(vm, revision);
        }
    }

    /**
     * An item of the platform's store with its raw value.
     *
     * @param key the key of the item
     * @param revision the revision of the item's last change
     * @param removed whether that change removed the item
     * @param value the raw bytes
     */
    record RelayedItem(String key, long revision, boolean removed, byte[] value) {}

    /**
     * The work that a router has in flight on an upstream.
     *
     * @param upstream the upstream
     * @param running the number of requests in flight
     * @param bound the number of these requests that are non-resumable, that is, cannot continue on another upstream
     * @param promptTokens the number of prompt tokens whose prefill is pending
     * @param shortPromptTokens the number of these prompt tokens that belong to short prompts
     * @param memoryTokens the KV cache memory that the requests need in addition to cached parts, in tokens
     */
    record UpstreamWork(
            UpstreamId upstream,
            int running,
            int bound,
            long promptTokens,
            long shortPromptTokens,
            long memoryTokens) {}

    /**
     * The work that a set of routers has in flight on an upstream, which replaces what was told of it before.
     *
     * @param upstream the hash of the upstream's id; two upstreams with the same one share their work
     * @param running the number of requests in flight
     * @param bound the number of these requests that cannot continue on another upstream
     * @param promptTokens the number of prompt tokens whose prefill is pending
     * @param shortPromptTokens the number of these prompt tokens that belong to short prompts
     * @param memoryTokens the KV cache memory that the requests need in addition to cached parts, in tokens
     */
    record WorkChange(
            int upstream, int running, int bound, long promptTokens, long shortPromptTokens, long memoryTokens) {}

    /**
     * What the requests of a limited customer use at a set of routers, in the unit of its limit. The times over which
     * it is counted follow from the window of limits, which all routers share.
     *
     * @param customer the hash of the customer's id; two customers with the same one share their use
     * @param asked what the customer's callers asked for lately, also in vain
     * @param recent what was admitted lately
     * @param admitted what was admitted in the last window
     */
    record CustomerUse(int customer, long asked, long recent, long admitted) {}

    /**
     * The work that all routers of a failure domain have in flight.
     *
     * @param domain the failure domain
     * @param work the total work of these routers on each upstream
     */
    record DomainWork(FailureDomain domain, List<UpstreamWork> work) {

        /** Replaces a missing list with an empty one. */
        public DomainWork {
            work = work == null ? List.of() : work;
        }
    }

    /**
     * Prompt parts that an engine has prefilled.
     *
     * @param engine the engine
     * @param keys the keys of the prompt parts; each key covers the part and all parts before it
     * @param tokens the length of each part in tokens
     */
    record ReadParts(UpstreamId engine, long[] keys, long[] tokens) {}

    /**
     * Changes in the cache of an engine or of a KV cache store.
     *
     * @param holder the engine or KV cache store
     * @param anew whether this is a snapshot, which replaces the previously known content of the cache
     * @param keys the keys of the prompt parts
     * @param tokens the number of stored tokens of each part; 0 when the part was evicted
     * @param reader the incarnation of the router that read the cache events
     * @param number the sequence number of the reader's cache reports, so that each report is applied only once
     * @param unresponsive whether the cache events could not be read, so nothing is known of the content
     */
    record CacheChanges(
            UpstreamId holder,
            boolean anew,
            long[] keys,
            long[] tokens,
            String reader,
            long number,
            boolean unresponsive) {}

    /**
     * A version of weights that was observed on an engine.
     *
     * @param engine the engine
     * @param model the model
     * @param version the version
     */
    record SeenWeights(UpstreamId engine, String model, long version) {}

    /**
     * How long ago a target version of a model's weights was set.
     *
     * @param model the model
     * @param version the target version
     * @param ageMillis the time since it was set, in milliseconds; it may have been longer unless the age is exact
     * @param exact whether the sender has observed it without an interruption, apart from the usual delays
     */
    record TargetAge(String model, long version, long ageMillis, boolean exact) {}

    /**
     * An engine that is switching to new weights.
     *
     * @param engine the engine
     * @param millisLeft how much longer the engine receives no work unless this is reported again, in milliseconds
     */
    record Switching(UpstreamId engine, long millisLeft) {}

    /**
     * A limit of requests that an upstream named in an answer, or the absence of one.
     *
     * @param upstream the incarnation of the upstream
     * @param named whether the answer names a limit
     * @param requestsPerSecond the requests a second that the upstream accepts from all routers together, or 0 if none
     *     is named
     * @param ageMillis the time since a router received the answer, in milliseconds
     */
    record NamedLimit(UpstreamId upstream, boolean named, double requestsPerSecond, long ageMillis) {}

    /**
     * A pause that an upstream asked for in an answer to a router.
     *
     * @param upstream the incarnation of the upstream
     * @param millisLeft how much longer it lasts, in milliseconds
     */
    record SeenPause(UpstreamId upstream, long millisLeft) {}

    /**
     * An upstream to which a router could establish no connection in time, while it reached others.
     *
     * @param upstream the incarnation of the upstream
     * @param ageMillis the time since the router saw it, in milliseconds
     */
    record DarkUpstream(UpstreamId upstream, long ageMillis) {}

    /**
     * Streams that upstreams of one software version began.
     *
     * @param service the service of the upstreams
     * @param softwareVersion the version of their software
     * @param streams the keys of the streams
     */
    record StartedStreams(String service, String softwareVersion, long[] streams) {}

    /**
     * A query for the software version that began a stream.
     *
     * @param stream the key of the stream
     * @param services the services that may have begun it
     */
    record StreamQuery(long stream, List<String> services) {}

    /**
     * The reply to a query for the software version that began a stream.
     *
     * @param stream the key of the stream
     * @param known whether the replying router knows what began the stream
     * @param service the service that began it, or an empty string
     * @param softwareVersion the software version that began it, or an empty string
     * @param recentVersions the software versions of the services in question, as far as the router knows
     * @param observedMillis for how long the router has observed these services, in milliseconds
     */
    record StreamReply(
            long stream,
            boolean known,
            String service,
            String softwareVersion,
            List<String> recentVersions,
            long observedMillis) {}

    /**
     * A query for the resumable streams that are open at a router which knows newer version shares.
     *
     * @param service the service of the upstreams
     * @param epoch the epoch of the version shares that were replaced
     */
    record OpenStreamQuery(String service, long epoch) {}

    /**
     * The resumable streams that are open at a router, among them all that began there under version shares that were
     * replaced.
     *
     * @param service the service of the upstreams
     * @param epoch the epoch of the version shares that were replaced
     * @param streams the open streams
     */
    record OpenStreamReply(String service, long epoch, List<StartedStreams> streams) {

        /** Replaces a missing list with an empty one. */
        public OpenStreamReply {
            streams = streams == null ? List.of() : streams;
        }
    }

    /**
     * A request that was running on an upstream when the upstream crashed.
     *
     * @param fingerprint the fingerprint of the request
     * @param upstream the incarnation of the upstream that ended
     * @param sharedParts the keys of the prompt parts that may be the cause, in the order of the prompt
     */
    record SeenCrash(long fingerprint, UpstreamId upstream, long[] sharedParts) {

        /** Replaces missing parts with none. */
        public SeenCrash {
            sharedParts = sharedParts == null ? new long[0] : sharedParts;
        }

        /**
         * Creates a crash or clearance that concerns only the request as a whole.
         *
         * @param fingerprint the fingerprint of the request
         * @param upstream the incarnation of the upstream
         * @return the crash
         */
        public static SeenCrash ofRequest(long fingerprint, UpstreamId upstream) {
            return new SeenCrash(fingerprint, upstream, new long[0]);
        }
    }
}
