package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;

/**
 * Exchanges peer updates with the other routers: work in flight, observed weight versions, engines that switch weights,
 * crashes, prefilled prompt parts and cache reports. {@link GossipTopology} selects the recipients.
 */
final class PeerGossip {

    /** The shortest interval between heartbeats, in milliseconds; about the prefill time of one long prompt. */
    private static final long MINIMUM_HEARTBEAT_INTERVAL_MILLIS = 200;

    /** Heartbeat interval for each peer, in milliseconds: 25 messages a second take a small VM about 1 % of a core. */
    private static final long HEARTBEAT_INTERVAL_PER_PEER_MILLIS = 40;

    /**
     * Heartbeat interval in a fleet with relays, in milliseconds: a relay of 25 followers handles 80 messages a second.
     */
    private static final long RELAYED_HEARTBEAT_INTERVAL_MILLIS = 300;

    /** How long updates are collected before they are sent ahead of the next heartbeat, in milliseconds. */
    private static final long PUSH_DELAY_MILLIS = 5;

    /** The same for started streams, whose number grows with the load. */
    private static final long STREAM_PUSH_DELAY_MILLIS = 50;

    /** The shortest interval between two messages of a router in a fleet with relays, in milliseconds. */
    private static final long RELAYED_MINIMUM_INTERVAL_MILLIS = 50;

    /** How long a peer's report that an engine switches weights is valid, in milliseconds; three heartbeats or more. */
    private static final long SWITCHING_VALIDITY_MILLIS = 1_500;

    /**
     * The least time by which a repeated report must extend that validity, in milliseconds. It exceeds the time in
     * which routers pass a report on, so that an echo of the same report does not extend it.
     */
    private static final long MINIMUM_RENEWAL_MILLIS = 500;

    /** The most cache readers whose last report number is kept; a restarted router counts as another reader. */
    private static final int MAXIMUM_READERS = 500;

    /** The most requests that a peer may have in flight on an upstream. */
    private static final int MAXIMUM_REQUESTS = 1_000_000;

    /** The most tokens that the requests of a peer or a prompt part may have. */
    private static final long MAXIMUM_TOKENS = 1L << 40;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final StoreEra storeEra;
    private final UpstreamTable upstreams;
    private final CrashTracker crashes;
    private final PromptPartTracker promptParts;
    private final RequestLimits requestLimits;
    private final StreamVersions streamVersions;
    private final GossipTopology topology;
    private final ItemRelay itemRelay;
    private final GossipBuffer buffer = new GossipBuffer();
    private final SharedParts sharedParts = new SharedParts();
    private final Map<String, Long> lastNumberByReader = new LinkedHashMap<>();
    private final Map<FailureDomain, PeerMessage.DomainWork> remoteWork = new HashMap<>();
    /** The peers that sent an incomplete update, which is logged once for each. */
    private final Set<EntryVmId> incompleteFrom = new HashSet<>();

    private List<PeerMessage.UpstreamWork> lastSentWork = List.of();
    private boolean isRelay;
    private WeightsRollout rollout;
    private long lastSentAtMillis = Long.MIN_VALUE / 2;
    private long nextHeartbeatAtMillis;
    private long pushAtMillis = Long.MAX_VALUE;

    PeerGossip(
            ForwardingContext context,
            StoreReplica replica,
            StoreEra storeEra,
            UpstreamTable upstreams,
            CrashProtection crashProtection,
            RequestLimits requestLimits,
            StreamVersions streamVersions) {
        this.context = context;
        this.replica = replica;
        this.storeEra = storeEra;
        this.upstreams = upstreams;
        this.crashes = crashProtection.tracker();
        this.promptParts = crashProtection.promptParts();
        this.requestLimits = requestLimits;
        this.streamVersions = streamVersions;
        this.topology = new GossipTopology(context.settings().self());
        this.itemRelay = new ItemRelay(context, replica, storeEra);
    }

    /** Buffers prompt parts that an engine has prefilled for the next update. */
    void recordPrefilledParts(UpstreamId engine, List<PromptChain.Link> links) {
        if (!links.isEmpty()) {
            buffer.local().prefilledParts.add(toReadParts(engine, links));
        }
    }

    /**
     * Buffers a cache report that this router read for its failure domain; a snapshot is sent without waiting for the
     * next heartbeat in a fleet without relays.
     */
    void recordCacheChanges(PeerMessage.CacheChanges changes) {
        buffer.cacheReports().add(changes);
        if (changes.anew() && !GossipTopology.usesRelays(replica.memberCount())) {
            scheduleUpdate();
        }
    }

    /** The prompt parts that requests of any router are known to share. */
    SharedParts sharedParts() {
        return sharedParts;
    }

    /** Returns whether updates of a router are expected: it sent one recently, or they arrive through relays. */
    boolean expectsUpdatesFrom(EntryVmId peer) {
        return GossipTopology.usesRelays(replica.memberCount()) || topology.hasRecentContact(peer, context.now());
    }

    void setRollout(WeightsRollout weightsRollout) {
        rollout = weightsRollout;
    }

    /** Schedules an update without waiting for the next heartbeat. */
    void scheduleUpdate() {
        scheduleUpdate(PUSH_DELAY_MILLIS);
    }

    private void scheduleUpdate(long delayMillis) {
        long earliestMillis = GossipTopology.usesRelays(replica.memberCount())
                ? lastSentAtMillis + RELAYED_MINIMUM_INTERVAL_MILLIS
                : 0;
        long atMillis = Math.max(earliestMillis, context.now() + delayMillis);
        if (atMillis < pushAtMillis) {
            pushAtMillis = atMillis;
            context.wakeAt(pushAtMillis);
        }
    }

    /** Tells peers of started streams early in a full mesh while their software version is not the only one. */
    void streamStarted(String service) {
        if (!GossipTopology.usesRelays(replica.memberCount())
                && streamVersions.software().isMixed(service)) {
            scheduleUpdate(STREAM_PUSH_DELAY_MILLIS);
        }
    }

    void run() {
        if (crashes.hasUnsent()
                || promptParts.hasUnsent()
                || requestLimits.hasUnsent()
                || upstreams.pauses().hasUnsent()
                || upstreams.leaving().hasUnsent()) {
            scheduleUpdate();
        }
        if (context.now() < nextHeartbeatAtMillis && context.now() < pushAtMillis) {
            return;
        }
        pushAtMillis = Long.MAX_VALUE;
        lastSentAtMillis = context.now();
        List<EntryVm> members =
                replica.members().stream().map(StoreItemContent.Member::vm).toList();
        long intervalMillis = GossipTopology.usesRelays(members.size())
                ? RELAYED_HEARTBEAT_INTERVAL_MILLIS
                : Math.max(MINIMUM_HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_PER_PEER_MILLIS * members.size());
        nextHeartbeatAtMillis = context.now() + intervalMillis;
        context.wakeAt(nextHeartbeatAtMillis);
        sendUpdates(topology.recipients(members, context.now()));
    }

    private void sendUpdates(GossipTopology.Recipients recipients) {
        isRelay = recipients.isRelay();
        buffer.local().crashes.addAll(crashes.drainUnsentCrashes());
        buffer.local().clearedCrashes.addAll(crashes.drainUnsentClearances());
        buffer.local().clearedParts.addAll(promptParts.drainUnsentClearances());
        buffer.local().limits.addAll(requestLimits.drainUnsent());
        buffer.local().pauses.addAll(upstreams.pauses().drainUnsent());
        buffer.local().leaving.addAll(upstreams.leaving().drainUnsent());
        buffer.local().startedStreams.addAll(streamVersions.origins().drainUnsent());
        for (UpstreamId engine : rollout.switchingEngines()) {
            buffer.local().switching.add(new PeerMessage.Switching(engine, SWITCHING_VALIDITY_MILLIS));
        }
        if (!recipients.peers().isEmpty()) {
            lastSentWork = WorkSums.ownWork(upstreams.all());
            Map<Boolean, List<EntryVm>> peers = recipients.peers().stream()
                    .collect(Collectors.partitioningBy(
                            peer -> peer.failureDomain().equals(ownDomain())));
            ForwardingNewsBuilder localUpdate = newUpdate().work(lastSentWork);
            buffer.writeAll(localUpdate);
            localUpdate.startedStreams(List.copyOf(buffer.local().startedStreams));
            send(peers.get(true), localUpdate);
            ForwardingNewsBuilder remoteUpdate = newUpdate().work(lastSentWork);
            buffer.writeLocal(remoteUpdate);
            send(peers.get(false), remoteUpdate);
        }
        if (isRelay) {
            PeerMessage.DomainWork ownDomainWork =
                    new PeerMessage.DomainWork(ownDomain(), WorkSums.domainWork(upstreams.all(), context.now()));
            ForwardingNewsBuilder remoteUpdate = newUpdate().domains(List.of(ownDomainWork));
            buffer.writeLocal(remoteUpdate);
            send(recipients.remoteRelays(), remoteUpdate);
            List<PeerMessage.DomainWork> allWork = new ArrayList<>(remoteWork.values());
            allWork.add(ownDomainWork);
            ForwardingNewsBuilder localUpdate = newUpdate().domains(allWork);
            buffer.writeAll(localUpdate);
            send(recipients.followers(), localUpdate);
        }
        remoteWork.clear();
        buffer.clear();
    }

    private ForwardingNewsBuilder newUpdate() {
        return itemRelay
                .newUpdate()
                .weights(unpublishedWeightVersions())
                .targetAges(replica.targetHistory().reports());
    }

    private void send(List<EntryVm> recipients, ForwardingNewsBuilder builder) {
        PeerMessage.ForwardingNews update = builder.build();
        for (EntryVm peer : recipients) {
            context.emit(new ForwardingOutput.SendToPeer(peer.id(), peer.address(), update));
        }
    }

    private FailureDomain ownDomain() {
        return context.settings().self().failureDomain();
    }

    /** Weight versions that are newer than those in the engines' store entries. */
    private List<PeerMessage.SeenWeights> unpublishedWeightVersions() {
        List<PeerMessage.SeenWeights> seen = new ArrayList<>();
        for (UpstreamState engine : upstreams.all()) {
            engine.weightVersions.forEach((model, version) -> {
                if (version > engine.entry.weights().getOrDefault(model, 0L)) {
                    seen.add(new PeerMessage.SeenWeights(engine.id(), model, version));
                }
            });
        }
        return seen;
    }

    /** Processes an update or a request for store items from a peer. */
    void receive(EntryVmId from, PeerMessage.ForwardingNews update) {
        if (!PeerUpdateCheck.isComplete(update)) {
            context.count("peers.incomplete-updates");
            if (incompleteFrom.add(from)) {
                context.log("peers", "Incomplete update of a peer ignored.", "peer", from);
            }
            return;
        }
        long updateEra = update.storeEra();
        storeEra.observeFromPeer(updateEra);
        if (update.wantsItems()) {
            itemRelay.sendItems(from, update);
            return;
        }
        if (!update.streamQueries().isEmpty()) {
            streamVersions.lookup().answer(from, update);
            return;
        }
        if (!update.streamReplies().isEmpty()) {
            streamVersions.lookup().receive(from, update);
            return;
        }
        if (!update.openStreamQueries().isEmpty()) {
            streamVersions.shareCompletion().answer(from, update);
            return;
        }
        if (!update.openStreamReplies().isEmpty()) {
            streamVersions.shareCompletion().receive(from, update);
            return;
        }
        topology.recordContact(from, context.now());
        applyWork(from, update);
        boolean sameDomain = update.vm().failureDomain().equals(ownDomain());
        update.targetAges().forEach(report -> replica.targetHistory().receive(from, report));
        applyUpdates(update, sameDomain ? buffer.local() : buffer.remote());
        if (!storeEra.isCurrent(updateEra)) {
            return;
        }
        itemRelay.compareRevision(from, update);
        if (replica.revision() > 0
                && update.revision() <= replica.revision()
                && topology.isInContact(replica.members(), context.now())) {
            replica.contact().confirmByMessage();
        }
    }

    private void applyWork(EntryVmId from, PeerMessage.ForwardingNews update) {
        WorkSource routerSource = new WorkSource.Router(from);
        upstreams.all().forEach(upstream -> upstream.removePeerWork(routerSource));
        applyWork(routerSource, update.work());
        for (PeerMessage.DomainWork domainWork : update.domains()) {
            WorkSource domainSource = new WorkSource.Domain(domainWork.domain());
            if (!domainWork.domain().equals(ownDomain())) {
                remoteWork.put(domainWork.domain(), domainWork);
            }
            upstreams.all().forEach(upstream -> upstream.removePeerWork(domainSource));
            applyWork(
                    domainSource,
                    domainWork.domain().equals(ownDomain())
                            ? WorkSums.subtract(domainWork.work(), lastSentWork)
                            : domainWork.work());
        }
    }

    private void applyWork(WorkSource source, List<PeerMessage.UpstreamWork> work) {
        for (PeerMessage.UpstreamWork upstreamWork : work) {
            upstreams
                    .find(upstreamWork.upstream())
                    .ifPresent(upstream -> upstream.recordPeerWork(source, bounded(upstreamWork), context.now()));
        }
    }

    /** Returns work of which the sum over all peers does not overflow. */
    private static PeerMessage.UpstreamWork bounded(PeerMessage.UpstreamWork work) {
        return new PeerMessage.UpstreamWork(
                work.upstream(),
                Math.clamp(work.running(), 0, MAXIMUM_REQUESTS),
                Math.clamp(work.bound(), 0, MAXIMUM_REQUESTS),
                Math.clamp(work.promptTokens(), 0, MAXIMUM_TOKENS),
                Math.clamp(work.shortPromptTokens(), 0, MAXIMUM_TOKENS),
                Math.clamp(work.memoryTokens(), 0, MAXIMUM_TOKENS));
    }

    private void applyUpdates(PeerMessage.ForwardingNews update, GossipBuffer.Updates updates) {
        update.reads().forEach(prefilled -> applyPrefilledParts(prefilled, updates));
        for (PeerMessage.SeenWeights seen : update.weights()) {
            boolean added = upstreams
                    .find(seen.engine())
                    .map(upstream -> upstream.recordWeightVersion(seen.model(), seen.version()))
                    .orElse(false);
            if (added && isRelay) {
                scheduleUpdate();
            }
        }
        for (PeerMessage.Switching switching : update.switching()) {
            upstreams.find(switching.engine()).ifPresent(upstream -> applySwitching(upstream, switching, updates));
        }
        update.caches().forEach(this::applyCacheChanges);
        for (PeerMessage.SeenCrash crash : update.crashes()) {
            if (crashes.recordCrash(crash) && isRelay) {
                updates.crashes.add(crash);
                scheduleUpdate();
            }
        }
        for (PeerMessage.SeenCrash crash : update.clearedCrashes()) {
            if (crashes.clearCrash(crash) && isRelay) {
                updates.clearedCrashes.add(crash);
                scheduleUpdate();
            }
        }
        for (PeerMessage.NamedLimit limit : update.limits()) {
            if (isPlausible(limit) && requestLimits.receive(limit) && isRelay) {
                updates.limits.add(limit);
                scheduleUpdate();
            }
        }
        update.pauses().forEach(pause -> applyPause(pause, updates));
        update.leaving().forEach(upstream -> applyLeaving(upstream, updates));
        for (PeerMessage.StartedStreams started : update.startedStreams()) {
            streamVersions.origins().receive(started).filter(added -> isRelay).ifPresent(updates.startedStreams::add);
        }
        for (long part : update.clearedParts()) {
            if (promptParts.clear(part) && isRelay) {
                updates.clearedParts.add(part);
                scheduleUpdate();
            }
        }
    }

    private static boolean isPlausible(PeerMessage.NamedLimit limit) {
        return limit.requestsPerSecond() >= 0
                && limit.requestsPerSecond() <= MAXIMUM_REQUESTS
                && limit.ageMillis() >= 0;
    }

    private void applyPause(PeerMessage.SeenPause pause, GossipBuffer.Updates updates) {
        if (upstreams.pauses().receive(pause) && isRelay) {
            updates.pauses.add(pause);
            scheduleUpdate();
        }
    }

    private void applyLeaving(UpstreamId incarnation, GossipBuffer.Updates updates) {
        if (upstreams.leaving().receive(incarnation) && isRelay) {
            updates.leaving.add(incarnation);
            scheduleUpdate();
        }
    }

    private void applyCacheChanges(PeerMessage.CacheChanges changes) {
        Long lastNumber = lastNumberByReader.remove(changes.reader());
        lastNumberByReader.put(changes.reader(), Math.max(changes.number(), lastNumber == null ? 0 : lastNumber));
        if (lastNumberByReader.size() > MAXIMUM_READERS) {
            lastNumberByReader.remove(lastNumberByReader.keySet().iterator().next());
        }
        if (lastNumber != null && lastNumber >= changes.number()) {
            return;
        }
        upstreams.cache(changes.holder()).ifPresent(cache -> cache.applyReport(changes, context.now()));
        if (isRelay) {
            buffer.cacheReports().add(changes);
        }
    }

    private void applyPrefilledParts(PeerMessage.ReadParts prefilled, GossipBuffer.Updates updates) {
        for (long key : prefilled.keys()) {
            sharedParts.add(key);
        }
        List<PromptChain.Link> links = new ArrayList<>();
        for (int index = 0; index < Math.min(prefilled.keys().length, prefilled.tokens().length); index++) {
            long tokens = Math.clamp(prefilled.tokens()[index], 0, MAXIMUM_TOKENS);
            links.add(new PromptChain.Link(prefilled.keys()[index], tokens));
        }
        upstreams.find(prefilled.engine()).ifPresent(upstream -> {
            List<PromptChain.Link> newLinks =
                    upstream.cache.recordPrefill(links, replica.memoryTokens(upstream.entry.service()), context.now());
            if (isRelay && !newLinks.isEmpty()) {
                updates.prefilledParts.add(toReadParts(prefilled.engine(), newLinks));
            }
        });
    }

    private static PeerMessage.ReadParts toReadParts(UpstreamId engine, List<PromptChain.Link> links) {
        return new PeerMessage.ReadParts(
                engine,
                links.stream().mapToLong(PromptChain.Link::key).toArray(),
                links.stream().mapToLong(PromptChain.Link::tokens).toArray());
    }

    /**
     * Applies and passes on only reports that are new, so that an engine receives requests again although routers echo
     * the report.
     */
    private void applySwitching(UpstreamState engine, PeerMessage.Switching switching, GossipBuffer.Updates updates) {
        boolean firstReport = !engine.isSwitchingWeights(context.now());
        long untilMillis = context.now() + Math.min(switching.millisLeft(), SWITCHING_VALIDITY_MILLIS);
        if (untilMillis < engine.switchingUntilMillis + MINIMUM_RENEWAL_MILLIS) {
            return;
        }
        engine.switchingUntilMillis = untilMillis;
        if (isRelay) {
            updates.switching.add(switching);
        }
        if (firstReport) {
            scheduleUpdate();
        }
    }
}
