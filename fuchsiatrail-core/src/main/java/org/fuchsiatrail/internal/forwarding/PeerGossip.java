package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.internal.limits.CustomerLimits;

/**
 * Exchanges peer updates with the other routers: work in flight, observed weight versions, engines that switch weights,
 * crashes, prefilled prompt parts and cache reports. {@link GossipTopology} selects the recipients.
 */
final class PeerGossip {

    /** The shortest interval between heartbeats, in milliseconds; about the prefill time of one long prompt. */
    private static final long MINIMUM_HEARTBEAT_INTERVAL_MILLIS = 200;

    /** Heartbeat interval for each peer, in milliseconds: 25 messages a second take a small VM about 1 % of a core. */
    private static final long HEARTBEAT_INTERVAL_PER_PEER_MILLIS = 40;

    /** Heartbeat interval in a fleet with relays, in milliseconds. */
    private static final long RELAYED_HEARTBEAT_INTERVAL_MILLIS = 300;

    /** The interval between heartbeats to children of a router that hears nothing of its parent, in milliseconds. */
    private static final long MAXIMUM_DOWNWARD_INTERVAL_MILLIS = 450;

    /** The shortest interval between heartbeats to children, which follow those of the parent, in milliseconds. */
    private static final long MINIMUM_DOWNWARD_INTERVAL_MILLIS = 250;

    /** How long updates are collected before they are sent ahead of the next heartbeat, in milliseconds. */
    private static final long PUSH_DELAY_MILLIS = 5;

    /** The same for started streams, whose number grows with the load. */
    private static final long STREAM_PUSH_DELAY_MILLIS = 50;

    /** The shortest interval between two messages of a router in a fleet with relays, in milliseconds. */
    private static final long RELAYED_MINIMUM_INTERVAL_MILLIS = 100;

    /**
     * The least time by which a repeated report of a switch of weights must extend its validity, in milliseconds. It
     * exceeds the time in which routers pass a report on, so that an echo of the same report does not extend it.
     */
    private static final long MINIMUM_RENEWAL_MILLIS = 500;

    /** The most cache readers whose last report number is kept; a restarted router counts as another reader. */
    private static final int MAXIMUM_READERS = 500;

    /** The most requests a second that an upstream may name as its limit. */
    private static final int MAXIMUM_REQUESTS_PER_SECOND = 1_000_000;

    /** The most tokens that a prompt part may have. */
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
    private final WorkExchange work;
    private final GossipBuffer buffer = new GossipBuffer();
    private final PeerUpdateSender sender;
    private final CustomerLimits customerLimits;
    private final SharedParts sharedParts = new SharedParts();
    private final Map<String, Long> lastNumberByReader = new LinkedHashMap<>();
    /** The peers that sent an incomplete update, which is logged once for each. */
    private final Set<EntryVmId> incompleteFrom = new HashSet<>();

    private Optional<EntryVmId> parent = Optional.empty();
    private boolean isRelay;
    private long lastSentAtMillis = Long.MIN_VALUE / 2;
    private long nextHeartbeatAtMillis;
    private long pushAtMillis = Long.MAX_VALUE;
    private long lastDownwardAtMillis = Long.MIN_VALUE / 2;
    private long nextDownwardAtMillis;
    private boolean pushesUpward;
    private boolean pushesDownward;

    PeerGossip(
            ForwardingContext context,
            StoreReplica replica,
            StoreEra storeEra,
            UpstreamTable upstreams,
            CrashProtection crashProtection,
            RequestLimits requestLimits,
            StreamVersions streamVersions,
            CustomerLimits customerLimits) {
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
        this.work = new WorkExchange(context, upstreams);
        this.sender = new PeerUpdateSender(
                context,
                replica,
                upstreams,
                crashProtection,
                requestLimits,
                streamVersions,
                itemRelay,
                work,
                buffer,
                customerLimits);
        this.customerLimits = customerLimits;
    }

    /** Buffers prompt parts that an engine has prefilled for the next update. */
    void recordPrefilledParts(UpstreamId engine, List<PromptChain.Link> links) {
        if (!links.isEmpty()) {
            PeerMessage.ReadParts prefill = toReadParts(engine, links);
            buffer.add(GossipBuffer.Destination.UPWARD_AND_DOWNWARD, updates -> updates.bulk.add(prefill));
        }
    }

    /**
     * Buffers a cache report that this router read for its failure domain; a snapshot is sent without waiting for the
     * next heartbeat in a fleet without relays.
     */
    void recordCacheChanges(PeerMessage.CacheChanges changes) {
        buffer.add(GossipBuffer.Destination.UPWARD_AND_DOWNWARD, updates -> updates.bulk.add(changes));
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

    /** This router's parent in the tree. */
    Optional<EntryVmId> parent() {
        return parent;
    }

    void setRollout(WeightsRollout weightsRollout) {
        sender.setRollout(weightsRollout);
    }

    /** Schedules an update without waiting for the next heartbeat. */
    void scheduleUpdate() {
        scheduleUpdate(GossipBuffer.Destination.UPWARD_AND_DOWNWARD);
    }

    private void scheduleUpdate(GossipBuffer.Destination destination) {
        scheduleUpdate(PUSH_DELAY_MILLIS);
        pushesUpward |= destination == GossipBuffer.Destination.UPWARD_AND_DOWNWARD;
        pushesDownward = true;
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

    /** Tells peers of started streams early while their software version is not the only one. */
    void streamStarted(String service) {
        if (streamVersions.software().isMixed(service)) {
            scheduleUpdate(STREAM_PUSH_DELAY_MILLIS);
            pushesUpward = true;
        }
    }

    void run() {
        if (sender.hasUnsentObservations()) {
            scheduleUpdate();
        }
        boolean heartbeatDue = context.now() >= nextHeartbeatAtMillis;
        boolean downwardDue = context.now() >= nextDownwardAtMillis && GossipTopology.usesRelays(replica.memberCount());
        if (!heartbeatDue && !downwardDue && context.now() < pushAtMillis) {
            return;
        }
        lastSentAtMillis = context.now();
        List<EntryVm> members =
                replica.members().stream().map(StoreItemContent.Member::vm).toList();
        GossipTopology.Recipients recipients = topology.recipients(members, context.now());
        isRelay = recipients.isRelay();
        parent = recipients.parent().map(EntryVm::id);
        work.setParent(parent);
        sender.collectObservations();
        if (!GossipTopology.usesRelays(members.size())) {
            sender.sendToMesh(recipients.peers());
            scheduleHeartbeat(
                    Math.max(MINIMUM_HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_PER_PEER_MILLIS * members.size()));
        } else {
            if (heartbeatDue || pushesUpward) {
                sender.sendUpward(recipients, heartbeatDue);
            }
            if (downwardDue) {
                sender.sendDownward(recipients, true);
                lastDownwardAtMillis = context.now();
                scheduleDownward(
                        parent.isPresent() ? MAXIMUM_DOWNWARD_INTERVAL_MILLIS : RELAYED_HEARTBEAT_INTERVAL_MILLIS);
            } else if (pushesDownward) {
                sender.sendDownward(recipients, false);
            }
            if (heartbeatDue) {
                scheduleHeartbeat(RELAYED_HEARTBEAT_INTERVAL_MILLIS);
            }
        }
        pushAtMillis = Long.MAX_VALUE;
        pushesUpward = false;
        pushesDownward = false;
    }

    private void scheduleDownward(long delayMillis) {
        nextDownwardAtMillis = context.now() + delayMillis;
        context.wakeAt(nextDownwardAtMillis);
    }

    private void scheduleHeartbeat(long intervalMillis) {
        nextHeartbeatAtMillis = context.now() + intervalMillis;
        context.wakeAt(nextHeartbeatAtMillis);
    }

    private FailureDomain ownDomain() {
        return context.settings().self().failureDomain();
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
        work.receive(from, update);
        context.domainTraffic().heard(update.vm().failureDomain());
        customerLimits.receive(from, update, context.now());
        if (parent.equals(Optional.of(from))
                && context.now() - lastDownwardAtMillis >= MINIMUM_DOWNWARD_INTERVAL_MILLIS) {
            scheduleDownward(PUSH_DELAY_MILLIS);
        }
        update.targetAges().forEach(report -> replica.targetHistory().receive(from, report));
        applyUpdates(update, destination(from, update));
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

    /** Returns where updates of a peer are passed on to: away from the root if they come from its side. */
    private GossipBuffer.Destination destination(EntryVmId from, PeerMessage.ForwardingNews update) {
        boolean fromOtherDomain = !update.vm().failureDomain().equals(ownDomain());
        boolean fromAbove = parent.equals(Optional.of(from)) || fromOtherDomain && parent.isEmpty();
        return fromAbove ? GossipBuffer.Destination.DOWNWARD : GossipBuffer.Destination.UPWARD_AND_DOWNWARD;
    }

    /**
     * Buffers an update for the other neighbours and sends it without waiting for the next heartbeat. A router without
     * other neighbours buffers it too: it may be about to replace a relay that it has not found unresponsive yet, and
     * tells its new neighbours the updates that it buffered recently.
     */
    private void passOn(GossipBuffer.Destination destination, Consumer<GossipBuffer.Updates> addition) {
        buffer.add(destination, addition);
        if (isRelay || destination == GossipBuffer.Destination.UPWARD_AND_DOWNWARD) {
            scheduleUpdate(destination);
        }
    }

    private void applyUpdates(PeerMessage.ForwardingNews update, GossipBuffer.Destination destination) {
        boolean passesOn = GossipTopology.usesRelays(replica.memberCount());
        update.reads().forEach(prefilled -> applyPrefilledParts(prefilled, destination));
        for (PeerMessage.SeenWeights seen : update.weights()) {
            boolean added = upstreams
                    .find(seen.engine())
                    .map(upstream -> upstream.recordWeightVersion(seen.model(), seen.version()))
                    .orElse(false);
            if (added && isRelay) {
                scheduleUpdate(destination);
            }
        }
        for (PeerMessage.Switching switching : update.switching()) {
            upstreams.find(switching.engine()).ifPresent(upstream -> applySwitching(upstream, switching, destination));
        }
        update.caches().forEach(changes -> applyCacheChanges(changes, destination));
        for (PeerMessage.SeenCrash crash : update.crashes()) {
            if (crashes.recordCrash(crash) && passesOn) {
                passOn(destination, updates -> updates.crashes.add(crash));
            }
        }
        for (PeerMessage.SeenCrash crash : update.clearedCrashes()) {
            if (crashes.clearCrash(crash) && passesOn) {
                passOn(destination, updates -> updates.clearedCrashes.add(crash));
            }
        }
        for (PeerMessage.NamedLimit limit : update.limits()) {
            if (isPlausible(limit) && requestLimits.receive(limit) && passesOn) {
                passOn(destination, updates -> updates.limits.add(limit));
            }
        }
        for (PeerMessage.SeenPause pause : update.pauses()) {
            if (upstreams.pauses().receive(pause) && passesOn) {
                passOn(destination, updates -> updates.pauses.add(pause));
            }
        }
        for (UpstreamId incarnation : update.leaving()) {
            if (upstreams.leaving().receive(incarnation) && passesOn) {
                passOn(destination, updates -> updates.leaving.add(incarnation));
            }
        }
        for (PeerMessage.DarkUpstream dark : update.darkUpstreams()) {
            if (passesOn && !upstreams.answeredAfter(dark) && upstreams.dark().receive(dark, context.now())) {
                passOn(destination, updates -> updates.dark.add(dark));
            }
        }
        for (PeerMessage.StartedStreams started : update.startedStreams()) {
            streamVersions
                    .origins()
                    .receive(started)
                    .filter(added -> passesOn)
                    .ifPresent(added -> passOnStreams(destination, added));
        }
        for (long part : update.clearedParts()) {
            if (promptParts.clear(part) && passesOn) {
                passOn(destination, updates -> updates.clearedParts.add(part));
            }
        }
    }

    /** Passes started streams on to the root; those that a router told early go on early. */
    private void passOnStreams(GossipBuffer.Destination destination, PeerMessage.StartedStreams started) {
        if (destination == GossipBuffer.Destination.UPWARD_AND_DOWNWARD) {
            buffer.upward().startedStreams.add(started);
            if (parent.isPresent()) {
                streamStarted(started.service());
            }
        }
    }

    private static boolean isPlausible(PeerMessage.NamedLimit limit) {
        return limit.requestsPerSecond() >= 0
                && limit.requestsPerSecond() <= MAXIMUM_REQUESTS_PER_SECOND
                && limit.ageMillis() >= 0;
    }

    private void applyCacheChanges(PeerMessage.CacheChanges changes, GossipBuffer.Destination destination) {
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
            buffer.add(destination, updates -> updates.bulk.add(changes));
        }
    }

    private void applyPrefilledParts(PeerMessage.ReadParts prefilled, GossipBuffer.Destination destination) {
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
                PeerMessage.ReadParts news = toReadParts(prefilled.engine(), newLinks);
                buffer.add(destination, updates -> updates.bulk.add(news));
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
    private void applySwitching(
            UpstreamState engine, PeerMessage.Switching switching, GossipBuffer.Destination destination) {
        boolean firstReport = !engine.isSwitchingWeights(context.now());
        long untilMillis = context.now() + Math.min(switching.millisLeft(), PeerUpdateSender.SWITCHING_VALIDITY_MILLIS);
        if (untilMillis < engine.switchingUntilMillis + MINIMUM_RENEWAL_MILLIS) {
            return;
        }
        engine.switchingUntilMillis = untilMillis;
        if (isRelay) {
            buffer.add(destination, updates -> updates.switching.add(switching));
        }
        if (firstReport) {
            scheduleUpdate(destination);
        }
    }
}
