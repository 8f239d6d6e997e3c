package org.fuchsiatrail;

import java.util.List;

/** Builds a peer update, {@link PeerMessage.ForwardingNews}. Lists that are not set stay empty. */
public final class ForwardingNewsBuilder {

    private final EntryVm vm;
    private final long revision;
    private boolean wantsItems;
    private long coversUpTo;
    private List<PeerMessage.RelayedItem> items = List.of();
    private List<PeerMessage.UpstreamWork> work = List.of();
    private List<PeerMessage.SeenWeights> weights = List.of();
    private List<PeerMessage.Switching> switching = List.of();
    private List<PeerMessage.SeenCrash> crashes = List.of();
    private List<PeerMessage.SeenCrash> clearedCrashes = List.of();
    private List<Long> clearedParts = List.of();
    private List<PeerMessage.NamedLimit> limits = List.of();
    private List<PeerMessage.StartedStreams> startedStreams = List.of();
    private List<PeerMessage.StreamQuery> streamQueries = List.of();
    private List<PeerMessage.StreamReply> streamReplies = List.of();
    private List<PeerMessage.TargetAge> targetAges = List.of();
    private List<PeerMessage.SeenPause> pauses = List.of();
    private List<UpstreamId> leaving = List.of();
    private List<PeerMessage.DarkUpstream> darkUpstreams = List.of();
    private List<PeerMessage.OpenStreamQuery> openStreamQueries = List.of();
    private List<PeerMessage.OpenStreamReply> openStreamReplies = List.of();
    private List<PeerMessage.ReadParts> reads = List.of();
    private List<PeerMessage.DomainWork> domains = List.of();
    private List<PeerMessage.CacheChanges> caches = List.of();
    private long storeEraNumber;
    private boolean workByChanges;
    private List<PeerMessage.WorkChange> subtreeWork = List.of();
    private List<PeerMessage.WorkChange> domainWork = List.of();
    private List<PeerMessage.WorkChange> fleetWork = List.of();
    private boolean countsUse;
    private long subtreeRouters;
    private List<PeerMessage.CustomerUse> subtreeUse = List.of();
    private long fleetRouters;
    private List<PeerMessage.CustomerUse> fleetUse = List.of();

    ForwardingNewsBuilder(EntryVm vm, long revision) {
        this.vm = vm;
        this.revision = revision;
    }

    /**
     * Sets the era of the store to which the revisions of this update belong.
     *
     * @param era the era
     * @return this builder
     */
    public ForwardingNewsBuilder storeEra(long era) {
        storeEraNumber = era + 1;
        return this;
    }

    /**
     * Requests the items that changed after the sender's revision.
     *
     * @return this builder
     */
    public ForwardingNewsBuilder wantsItems() {
        wantsItems = true;
        return this;
    }

    /**
     * Sets the items that answer a request for changed items.
     *
     * @param changedItems the changed items
     * @param upToRevision the revision up to which the items are complete
     * @return this builder
     */
    public ForwardingNewsBuilder items(List<PeerMessage.RelayedItem> changedItems, long upToRevision) {
        items = changedItems;
        coversUpTo = upToRevision;
        return this;
    }

    /**
     * Sets the work that the sender has in flight.
     *
     * @param ownWork the sender's work on each upstream
     * @return this builder
     */
    public ForwardingNewsBuilder work(List<PeerMessage.UpstreamWork> ownWork) {
        work = ownWork;
        return this;
    }

    /**
     * Sets the versions of weights that the sender observed on engines.
     *
     * @param observedWeights the versions
     * @return this builder
     */
    public ForwardingNewsBuilder weights(List<PeerMessage.SeenWeights> observedWeights) {
        weights = observedWeights;
        return this;
    }

    /**
     * Sets the engines that are switching to new weights.
     *
     * @param engines the engines
     * @return this builder
     */
    public ForwardingNewsBuilder switching(List<PeerMessage.Switching> engines) {
        switching = engines;
        return this;
    }

    /**
     * Sets the crashes that the sender observed.
     *
     * @param observedCrashes the crashes
     * @return this builder
     */
    public ForwardingNewsBuilder crashes(List<PeerMessage.SeenCrash> observedCrashes) {
        crashes = observedCrashes;
        return this;
    }

    /**
     * Sets the crashes that requests did not cause, since they completed afterwards.
     *
     * @param cleared the crashes
     * @return this builder
     */
    public ForwardingNewsBuilder clearedCrashes(List<PeerMessage.SeenCrash> cleared) {
        clearedCrashes = cleared;
        return this;
    }

    /**
     * Sets the prompt parts that crash no upstream, since requests with them completed.
     *
     * @param cleared the keys of the parts
     * @return this builder
     */
    public ForwardingNewsBuilder clearedParts(List<Long> cleared) {
        clearedParts = cleared;
        return this;
    }

    /**
     * Sets the limits of requests that upstreams named.
     *
     * @param namedLimits the limits
     * @return this builder
     */
    public ForwardingNewsBuilder limits(List<PeerMessage.NamedLimit> namedLimits) {
        limits = namedLimits;
        return this;
    }

    /**
     * Sets the streams that upstreams began.
     *
     * @param streams the streams by software version
     * @return this builder
     */
    public ForwardingNewsBuilder startedStreams(List<PeerMessage.StartedStreams> streams) {
        startedStreams = streams;
        return this;
    }

    /**
     * Sets the streams whose software version the sender needs to know.
     *
     * @param queries the queries
     * @return this builder
     */
    public ForwardingNewsBuilder streamQueries(List<PeerMessage.StreamQuery> queries) {
        streamQueries = queries;
        return this;
    }

    /**
     * Sets the replies to queries for the software version of streams.
     *
     * @param replies the replies
     * @return this builder
     */
    public ForwardingNewsBuilder streamReplies(List<PeerMessage.StreamReply> replies) {
        streamReplies = replies;
        return this;
    }

    /**
     * Sets the prompt parts that engines have prefilled.
     *
     * @param prefilledParts the parts
     * @return this builder
     */
    public ForwardingNewsBuilder reads(List<PeerMessage.ReadParts> prefilledParts) {
        reads = prefilledParts;
        return this;
    }

    /**
     * Sets the work that failure domains have in flight.
     *
     * @param workByDomain the total work of each failure domain
     * @return this builder
     */
    public ForwardingNewsBuilder domains(List<PeerMessage.DomainWork> workByDomain) {
        domains = workByDomain;
        return this;
    }

    /**
     * Sets the changes in caches.
     *
     * @param changes the changes of each cache
     * @return this builder
     */
    public ForwardingNewsBuilder caches(List<PeerMessage.CacheChanges> changes) {
        caches = changes;
        return this;
    }

    /**
     * Sets the ages of target weights.
     *
     * @param ages how long ago each target version was set
     * @return this builder
     */
    public ForwardingNewsBuilder targetAges(List<PeerMessage.TargetAge> ages) {
        targetAges = ages;
        return this;
    }

    /**
     * Sets the pauses that upstreams asked for.
     *
     * @param requestedPauses the pauses
     * @return this builder
     */
    public ForwardingNewsBuilder pauses(List<PeerMessage.SeenPause> requestedPauses) {
        pauses = requestedPauses;
        return this;
    }

    /**
     * Sets the incarnations of upstreams that said that they are leaving.
     *
     * @param incarnations the incarnations
     * @return this builder
     */
    public ForwardingNewsBuilder leaving(List<UpstreamId> incarnations) {
        leaving = incarnations;
        return this;
    }

    /**
     * Sets the upstreams that a router could not reach while it reached others.
     *
     * @param upstreams the upstreams
     * @return this builder
     */
    public ForwardingNewsBuilder darkUpstreams(List<PeerMessage.DarkUpstream> upstreams) {
        darkUpstreams = upstreams;
        return this;
    }

    /**
     * Sets the replaced version shares whose open streams the sender asks for.
     *
     * @param queries the queries
     * @return this builder
     */
    public ForwardingNewsBuilder openStreamQueries(List<PeerMessage.OpenStreamQuery> queries) {
        openStreamQueries = queries;
        return this;
    }

    /**
     * Sets the replies to queries for open streams.
     *
     * @param replies the replies
     * @return this builder
     */
    public ForwardingNewsBuilder openStreamReplies(List<PeerMessage.OpenStreamReply> replies) {
        openStreamReplies = replies;
        return this;
    }

    /**
     * Declares that the update tells work by its changes, also if there are none.
     *
     * @return this builder
     */
    public ForwardingNewsBuilder workByChanges() {
        workByChanges = true;
        return this;
    }

    /**
     * Sets the changed work of the sender and of all routers that report through it.
     *
     * @param changes the work on each upstream for which it has changed
     * @return this builder
     */
    public ForwardingNewsBuilder subtreeWork(List<PeerMessage.WorkChange> changes) {
        subtreeWork = changes;
        return workByChanges();
    }

    /**
     * Sets the changed work of all routers of the sender's failure domain.
     *
     * @param changes the work on each upstream for which it has changed
     * @return this builder
     */
    public ForwardingNewsBuilder domainWork(List<PeerMessage.WorkChange> changes) {
        domainWork = changes;
        return workByChanges();
    }

    /**
     * Sets the changed work of all routers.
     *
     * @param changes the work on each upstream for which it has changed
     * @return this builder
     */
    public ForwardingNewsBuilder fleetWork(List<PeerMessage.WorkChange> changes) {
        fleetWork = changes;
        return workByChanges();
    }

    /**
     * Sets whether the sender tells the use of limited customers in its heartbeats.
     *
     * @param value whether it does
     * @return this builder
     */
    public ForwardingNewsBuilder countsUse(boolean value) {
        countsUse = value;
        return this;
    }

    /**
     * Sets the use of limited customers at the sender and at all routers that report through it.
     *
     * @param routers the number of these routers
     * @param use the use of each customer that has any
     * @return this builder
     */
    public ForwardingNewsBuilder subtreeUse(long routers, List<PeerMessage.CustomerUse> use) {
        subtreeRouters = routers;
        subtreeUse = use;
        return this;
    }

    /**
     * Sets the use of limited customers at all routers.
     *
     * @param routers the number of routers whose use is known
     * @param use the use of each customer that has any
     * @return this builder
     */
    public ForwardingNewsBuilder fleetUse(long routers, List<PeerMessage.CustomerUse> use) {
        fleetRouters = routers;
        fleetUse = use;
        return this;
    }

    /**
     * Builds the update.
     *
     * @return the update
     */
    public PeerMessage.ForwardingNews build() {
        return new PeerMessage.ForwardingNews(
                vm,
                revision,
                wantsItems,
                coversUpTo,
                items,
                work,
                weights,
                switching,
                crashes,
                reads,
                domains,
                caches,
                clearedCrashes,
                clearedParts,
                limits,
                startedStreams,
                streamQueries,
                streamReplies,
                targetAges,
                pauses,
                leaving,
                openStreamQueries,
                openStreamReplies,
                storeEraNumber,
                workByChanges,
                subtreeWork,
                domainWork,
                fleetWork,
                countsUse,
                subtreeRouters,
                subtreeUse,
                fleetRouters,
                fleetUse,
                darkUpstreams);
    }
}
