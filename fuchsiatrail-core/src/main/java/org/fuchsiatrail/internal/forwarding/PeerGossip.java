package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * Exchanges news with the other routers: work in flight, weights seen, engines that switch, crashes and prompt parts
 * that engines have read. {@link GossipTopology} tells with whom.
 */
final class PeerGossip {

    /** The shortest pause between heartbeats, in milliseconds; about the time of one long prompt on an engine. */
    private static final long SHORTEST_HEARTBEAT_MILLIS = 200;

    /** Pause for each peer, in milliseconds: 25 messages a second take a small VM about 1 % of a core. */
    private static final long HEARTBEAT_PER_PEER_MILLIS = 40;

    /** The pause in a fleet with relays, in milliseconds: a relay of 25 followers handles 80 messages a second. */
    private static final long RELAYED_HEARTBEAT_MILLIS = 300;

    /** How long news is gathered before it is pushed, in milliseconds. */
    private static final long PUSH_MILLIS = 5;

    /** The shortest pause between two messages of a router in a fleet with relays, in milliseconds. */
    private static final long RELAYED_PUSH_MILLIS = 50;

    /** How long a peer's word that an engine switches counts, in milliseconds; two heartbeats. */
    private static final long SWITCHING_MILLIS = 1_500;

    /** What a renewal of that word must add to count, in milliseconds; more than routers take to pass it on. */
    private static final long RENEWAL_MILLIS = 500;

    /** The most readers of caches, in any life, whose numbers are remembered. */
    private static final int MOST_READERS = 500;

    private final ForwardingContext context;
    private final StoreReplica known;
    private final UpstreamTable upstreams;
    private final CrashTracker crashes;
    private final GossipTopology circle;
    private final ItemRelay items;
    private final GossipBuffer passing = new GossipBuffer();
    private final SharedParts sharedParts = new SharedParts();
    private final Map<String, Long> numbersByReader = new LinkedHashMap<>();
    private final Map<FailureDomain, PeerMessage.DomainWork> distantWork = new HashMap<>();
    private List<PeerMessage.UpstreamWork> lastToldWork = List.of();
    private boolean relays;
    private WeightsRollout rollout;
    private long lastToldAtMillis = Long.MIN_VALUE / 2;
    private long nextHeartbeatAtMillis;
    private long pushAtMillis = Long.MAX_VALUE;

    PeerGossip(ForwardingContext context, StoreReplica known, UpstreamTable upstreams, CrashTracker crashes) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.crashes = crashes;
        this.circle = new GossipTopology(context.settings().self());
        this.items = new ItemRelay(context, known);
    }

    /** Remembers parts that an engine has read, to be told soon. */
    void recordPrefilledParts(UpstreamId engine, List<PromptChain.Link> links) {
        if (!links.isEmpty()) {
            passing.near().reads.add(readParts(engine, links));
        }
    }

    /** Remembers changes in a cache that this router reads for its failure domain. */
    void recordCacheChanges(PeerMessage.CacheChanges changes) {
        passing.caches().add(changes);
        if (changes.anew() && !GossipTopology.large(known.memberCount())) {
            scheduleUpdate();
        }
    }

    /** The parts that requests of any router are known to share. */
    SharedParts sharedParts() {
        return sharedParts;
    }

    /** Tells whether a router is expected to tell its news: it was heard lately, or relays stand between. */
    boolean expectsUpdatesFrom(EntryVmId peer) {
        return GossipTopology.large(known.memberCount()) || circle.heardLately(peer, context.now());
    }

    void setRollout(WeightsRollout weightsRollout) {
        rollout = weightsRollout;
    }

    /** Has news sent without waiting for the next heartbeat. */
    void scheduleUpdate() {
        if (pushAtMillis == Long.MAX_VALUE) {
            long earliest = GossipTopology.large(known.memberCount()) ? lastToldAtMillis + RELAYED_PUSH_MILLIS : 0;
            pushAtMillis = Math.max(earliest, context.now() + PUSH_MILLIS);
            context.wakeAt(pushAtMillis);
        }
    }

    void run() {
        if (crashes.hasUnsent()) {
            scheduleUpdate();
        }
        if (context.now() < nextHeartbeatAtMillis && context.now() < pushAtMillis) {
            return;
        }
        pushAtMillis = Long.MAX_VALUE;
        lastToldAtMillis = context.now();
        List<EntryVm> members =
                known.members().stream().map(StoreItemContent.Member::vm).toList();
        long pause = GossipTopology.large(members.size())
                ? RELAYED_HEARTBEAT_MILLIS
                : Math.max(SHORTEST_HEARTBEAT_MILLIS, HEARTBEAT_PER_PEER_MILLIS * members.size());
        nextHeartbeatAtMillis = context.now() + pause;
        context.wakeAt(nextHeartbeatAtMillis);
        tell(circle.audience(members, context.now()));
    }

    private void tell(GossipTopology.Audience audience) {
        relays = audience.relays();
        passing.near().crashes.addAll(crashes.drainUnsent());
        for (UpstreamId engine : rollout.switching()) {
            passing.near().switching.add(new PeerMessage.Switching(engine, SWITCHING_MILLIS));
        }
        if (!audience.peers().isEmpty()) {
            lastToldWork = WorkSums.own(upstreams.all());
            Map<Boolean, List<EntryVm>> peers = audience.peers().stream()
                    .collect(Collectors.partitioningBy(
                            peer -> peer.failureDomain().equals(ownDomain())));
            ForwardingNewsBuilder inward = news().work(lastToldWork);
            passing.writeAll(inward);
            send(peers.get(true), inward);
            ForwardingNewsBuilder outward = news().work(lastToldWork);
            passing.writeNear(outward);
            send(peers.get(false), outward);
        }
        if (relays) {
            PeerMessage.DomainWork near =
                    new PeerMessage.DomainWork(ownDomain(), WorkSums.near(upstreams.all(), context.now()));
            ForwardingNewsBuilder outward = news().domains(List.of(near));
            passing.writeNear(outward);
            send(audience.distantRelays(), outward);
            List<PeerMessage.DomainWork> all = new ArrayList<>(distantWork.values());
            all.add(near);
            ForwardingNewsBuilder inward = news().domains(all);
            passing.writeAll(inward);
            send(audience.followers(), inward);
        }
        distantWork.clear();
        passing.clear();
    }

    private ForwardingNewsBuilder news() {
        return PeerMessage.ForwardingNews.builder(context.settings().self(), known.revision())
                .weights(newWeights());
    }

    private void send(List<EntryVm> recipients, ForwardingNewsBuilder builder) {
        PeerMessage.ForwardingNews news = builder.build();
        for (EntryVm peer : recipients) {
            context.emit(new ForwardingOutput.SendToPeer(peer.id(), peer.address(), news));
        }
    }

    private FailureDomain ownDomain() {
        return context.settings().self().failureDomain();
    }

    /** Versions that the engines' own entries do not tell yet. */
    private List<PeerMessage.SeenWeights> newWeights() {
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

    /** Takes news of a peer. */
    void receive(EntryVmId from, PeerMessage.ForwardingNews news) {
        if (news.wantsItems()) {
            items.answer(from, news);
            return;
        }
        circle.heard(from, context.now());
        takeWork(from, news);
        boolean near = news.vm().failureDomain().equals(ownDomain());
        takeNews(news, near ? passing.near() : passing.distant());
        items.compare(from, news);
    }

    private void takeWork(EntryVmId from, PeerMessage.ForwardingNews news) {
        WorkSource direct = new WorkSource.Router(from);
        upstreams.all().forEach(row -> row.forgetPeerWork(direct));
        takeWork(direct, news.work());
        for (PeerMessage.DomainWork sum : news.domains()) {
            WorkSource domain = new WorkSource.Domain(sum.domain());
            if (!sum.domain().equals(ownDomain())) {
                distantWork.put(sum.domain(), sum);
            }
            upstreams.all().forEach(row -> row.forgetPeerWork(domain));
            takeWork(
                    domain, sum.domain().equals(ownDomain()) ? WorkSums.without(sum.work(), lastToldWork) : sum.work());
        }
    }

    private void takeWork(WorkSource source, List<PeerMessage.UpstreamWork> work) {
        for (PeerMessage.UpstreamWork each : work) {
            upstreams.find(each.upstream()).ifPresent(row -> row.takePeerWork(source, each, context.now()));
        }
    }

    private void takeNews(PeerMessage.ForwardingNews news, GossipBuffer.Part part) {
        news.reads().forEach(read -> takeReads(read, part));
        for (PeerMessage.SeenWeights seen : news.weights()) {
            boolean added = upstreams
                    .find(seen.engine())
                    .map(row -> row.recordWeightVersion(seen.model(), seen.version()))
                    .orElse(false);
            if (added && relays) {
                scheduleUpdate();
            }
        }
        for (PeerMessage.Switching switching : news.switching()) {
            upstreams.find(switching.engine()).ifPresent(row -> takeSwitching(row, switching, part));
        }
        news.caches().forEach(this::takeCache);
        for (PeerMessage.SeenCrash crash : news.crashes()) {
            if (crashes.recordCrash(crash) && relays) {
                part.crashes.add(crash);
                scheduleUpdate();
            }
        }
    }

    private void takeCache(PeerMessage.CacheChanges changes) {
        Long before = numbersByReader.remove(changes.reader());
        numbersByReader.put(changes.reader(), Math.max(changes.number(), before == null ? 0 : before));
        if (numbersByReader.size() > MOST_READERS) {
            numbersByReader.remove(numbersByReader.keySet().iterator().next());
        }
        if (before != null && before >= changes.number()) {
            return;
        }
        upstreams.cache(changes.holder()).ifPresent(view -> view.applyReport(changes, context.now()));
        if (relays) {
            passing.caches().add(changes);
        }
    }

    private void takeReads(PeerMessage.ReadParts read, GossipBuffer.Part part) {
        for (long key : read.keys()) {
            sharedParts.add(key);
        }
        List<PromptChain.Link> links = new ArrayList<>();
        for (int index = 0; index < Math.min(read.keys().length, read.tokens().length); index++) {
            links.add(new PromptChain.Link(read.keys()[index], read.tokens()[index]));
        }
        upstreams.find(read.engine()).ifPresent(row -> {
            List<PromptChain.Link> unknown =
                    row.cache.recordPrefill(links, known.memoryTokens(row.entry.service()), context.now());
            if (relays && !unknown.isEmpty()) {
                part.reads.add(readParts(read.engine(), unknown));
            }
        });
    }

    private static PeerMessage.ReadParts readParts(UpstreamId engine, List<PromptChain.Link> links) {
        return new PeerMessage.ReadParts(
                engine,
                links.stream().mapToLong(PromptChain.Link::key).toArray(),
                links.stream().mapToLong(PromptChain.Link::tokens).toArray());
    }

    /** Takes and passes on only what is new, so that an engine's pause ends although routers echo it. */
    private void takeSwitching(UpstreamState engine, PeerMessage.Switching switching, GossipBuffer.Part part) {
        boolean started = !engine.switching(context.now());
        long until = context.now() + Math.min(switching.millisLeft(), SWITCHING_MILLIS);
        if (until < engine.switchingUntilMillis + RENEWAL_MILLIS) {
            return;
        }
        engine.switchingUntilMillis = until;
        if (relays) {
            part.switching.add(switching);
        }
        if (started) {
            scheduleUpdate();
        }
    }
}
