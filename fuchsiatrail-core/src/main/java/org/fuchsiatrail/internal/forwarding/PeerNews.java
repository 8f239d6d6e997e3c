package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreFact;
import org.fuchsiatrail.forwarding.StoreItem;

/**
 * Exchanges news with the other routers: work in flight, weights seen, engines that switch, crashes, and items of the
 * store for routers that the store turns away.
 */
final class PeerNews {

    /** The shortest pause between heartbeats, in milliseconds; about the time of one long prompt on an engine. */
    private static final long SHORTEST_HEARTBEAT_MILLIS = 200;

    /** Pause for each peer, in milliseconds: 25 messages a second take a small VM about 1 % of a core. */
    private static final long HEARTBEAT_PER_PEER_MILLIS = 40;

    /** How long news is gathered before it is pushed, in milliseconds. */
    private static final long PUSH_MILLIS = 5;

    /** How long a peer may be ahead before it is asked, in milliseconds; the own watch usually catches up first. */
    private static final long BEHIND_MILLIS = 250;

    /** How long a peer's word that an engine switches counts, in milliseconds; two heartbeats. */
    private static final long SWITCHING_MILLIS = 1_500;

    /** The most bytes of items in one answer; a longer one is cut and asked for again. */
    private static final int MOST_ITEM_BYTES = 2 * 1024 * 1024;

    private final ForwardingContext context;
    private final KnownItems known;
    private final ForwardedUpstreams upstreams;
    private final CrashRegister crashes;
    private final List<PeerMessage.ReadParts> reads = new ArrayList<>();
    private WeightsRollout rollout;
    private long nextHeartbeatAtMillis;
    private long pushAtMillis = Long.MAX_VALUE;
    private long behindSinceMillis = Long.MAX_VALUE;

    PeerNews(ForwardingContext context, KnownItems known, ForwardedUpstreams upstreams, CrashRegister crashes) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.crashes = crashes;
    }

    /** Remembers parts that an engine has read, to be told soon. */
    void partsRead(UpstreamId engine, List<PromptChain.Link> links) {
        if (!links.isEmpty()) {
            reads.add(new PeerMessage.ReadParts(
                    engine,
                    links.stream().mapToLong(PromptChain.Link::key).toArray(),
                    links.stream().mapToLong(PromptChain.Link::tokens).toArray()));
            announceSoon();
        }
    }

    void use(WeightsRollout weightsRollout) {
        rollout = weightsRollout;
    }

    /** Has news sent without waiting for the next heartbeat. */
    void announceSoon() {
        if (pushAtMillis == Long.MAX_VALUE) {
            pushAtMillis = context.now() + PUSH_MILLIS;
            context.wakeAt(pushAtMillis);
        }
    }

    void run() {
        if (crashes.hasUntold()) {
            announceSoon();
        }
        if (context.now() < nextHeartbeatAtMillis && context.now() < pushAtMillis) {
            return;
        }
        pushAtMillis = Long.MAX_VALUE;
        List<EntryVm> peers = peers();
        nextHeartbeatAtMillis =
                context.now() + Math.max(SHORTEST_HEARTBEAT_MILLIS, HEARTBEAT_PER_PEER_MILLIS * peers.size());
        context.wakeAt(nextHeartbeatAtMillis);
        PeerMessage.ForwardingNews news = news();
        for (EntryVm peer : peers) {
            context.emit(new ForwardingOutput.TellPeer(peer.id(), peer.address(), news));
        }
    }

    private List<EntryVm> peers() {
        List<EntryVm> peers = new ArrayList<>();
        for (StoreFact.Member member : known.members()) {
            if (!member.vm().id().equals(context.settings().self().id())) {
                peers.add(member.vm());
            }
        }
        return peers;
    }

    private PeerMessage.ForwardingNews news() {
        List<PeerMessage.UpstreamWork> work = new ArrayList<>();
        for (ForwardedUpstream upstream : upstreams.all()) {
            if (!upstream.inFlight.isEmpty()) {
                long tokens = 0;
                long shortTokens = 0;
                long memory = 0;
                for (ForwardedUpstream.AttemptRow attempt : upstream.inFlight.values()) {
                    tokens += attempt.promptTokens;
                    shortTokens += attempt.shortPrompt ? attempt.promptTokens : 0;
                    memory += attempt.memoryTokens;
                }
                work.add(new PeerMessage.UpstreamWork(
                        upstream.id(), upstream.inFlight.size(), upstream.ownBound(), tokens, shortTokens, memory));
            }
        }
        return new PeerMessage.ForwardingNews(
                context.settings().self(),
                known.revision(),
                false,
                0,
                List.of(),
                work,
                newWeights(),
                rollout.switching(),
                crashes.takeUntold(),
                takeReads());
    }

    private List<PeerMessage.ReadParts> takeReads() {
        List<PeerMessage.ReadParts> taken = List.copyOf(reads);
        reads.clear();
        return taken;
    }

    /** Versions that the engines' own entries do not tell yet. */
    private List<PeerMessage.SeenWeights> newWeights() {
        List<PeerMessage.SeenWeights> seen = new ArrayList<>();
        for (ForwardedUpstream engine : upstreams.all()) {
            engine.weights.forEach((model, version) -> {
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
            answer(from, news);
            return;
        }
        if (news.coversUpTo() > known.revision()) {
            known.coveredUpTo(news.coversUpTo());
            context.note("peers", "Items taken from a peer.", "peer", from, "revision", news.coversUpTo());
        }
        upstreams.all().forEach(row -> row.forgetPeerWork(from));
        for (PeerMessage.UpstreamWork work : news.work()) {
            upstreams.find(work.upstream()).ifPresent(row -> row.takePeerWork(from, work, context.now()));
        }
        news.reads().forEach(this::takeReads);
        for (PeerMessage.SeenWeights seen : news.weights()) {
            upstreams.find(seen.engine()).ifPresent(row -> row.sawWeights(seen.model(), seen.version()));
        }
        for (UpstreamId engine : news.switching()) {
            upstreams.find(engine).ifPresent(this::takeSwitching);
        }
        news.crashes().forEach(crashes::learn);
        askIfBehind(from, news);
    }

    private void takeReads(PeerMessage.ReadParts read) {
        List<PromptChain.Link> links = new ArrayList<>();
        for (int index = 0; index < Math.min(read.keys().length, read.tokens().length); index++) {
            links.add(new PromptChain.Link(read.keys()[index], read.tokens()[index]));
        }
        upstreams.find(read.engine()).ifPresent(row -> row.cache.read(links, known.memoryTokens(row.entry.service())));
    }

    private void takeSwitching(ForwardedUpstream engine) {
        boolean started = !engine.switching(context.now());
        engine.switchingUntilMillis = context.now() + SWITCHING_MILLIS;
        if (started) {
            announceSoon();
        }
    }

    private void askIfBehind(EntryVmId from, PeerMessage.ForwardingNews news) {
        if (news.revision() <= known.revision()) {
            behindSinceMillis = Long.MAX_VALUE;
            return;
        }
        behindSinceMillis = Math.min(behindSinceMillis, context.now());
        if (context.now() - behindSinceMillis < BEHIND_MILLIS) {
            return;
        }
        behindSinceMillis = context.now();
        context.count("peers.asked-for-items");
        PeerMessage.ForwardingNews question = new PeerMessage.ForwardingNews(
                context.settings().self(),
                known.revision(),
                true,
                0,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of());
        context.emit(new ForwardingOutput.TellPeer(from, news.vm().address(), question));
    }

    private void answer(EntryVmId from, PeerMessage.ForwardingNews question) {
        List<PeerMessage.RelayedItem> items = new ArrayList<>();
        List<StoreItem> changed = new ArrayList<>(known.changedAfter(question.revision()));
        changed.sort((one, other) -> Long.compare(one.revision(), other.revision()));
        long bytes = 0;
        long covered = known.revision();
        for (StoreItem item : changed) {
            bytes += item.value().length;
            if (bytes > MOST_ITEM_BYTES && !items.isEmpty()) {
                covered = items.getLast().revision();
                break;
            }
            boolean removed = item.fact() instanceof StoreFact.Removed;
            items.add(new PeerMessage.RelayedItem(item.key(), item.revision(), removed, item.value()));
        }
        PeerMessage.ForwardingNews reply = new PeerMessage.ForwardingNews(
                context.settings().self(),
                known.revision(),
                false,
                covered,
                items,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of());
        context.emit(new ForwardingOutput.TellPeer(from, question.vm().address(), reply));
    }
}
