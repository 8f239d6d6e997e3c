package org.fuchsiatrail.internal.directory;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.CacheRun;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/**
 * Shares the cache directory out among the routers: the owner of a chain's anchor keeps the chain.
 *
 * <p>Evidence comes from engines' cache events, from dispatches, and from the cached tokens that answers report; the
 * last corrects the others. Without an answer within the budget a lookup ends with nothing, and the caller of
 * {@link #lookup} falls back to placement by hash.
 */
public final class DirectorySystem {

    /** How long evidence counts without a refresh, in milliseconds. */
    private static final long EVIDENCE_LIFETIME_MILLIS = 120_000;

    /** The most checkpoints that one router keeps. */
    private static final int CAPACITY = 400_000;

    /** The rows whose age is checked each tick. */
    private static final int SWEPT_ROWS = 200;

    /** The time over which evidence for one owner is gathered into one message, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 20;

    /** The most checkpoints of one prompt that are looked up. */
    private static final int LONGEST_LOOKUP = 512;

    private final RouterContext context;
    private final MembershipSystem membership;
    private final UpstreamSystem upstreams;
    private final CacheDirectory directory = new CacheDirectory(EVIDENCE_LIFETIME_MILLIS, CAPACITY);
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private final Map<EntryVmId, Map<UpstreamId, PeerMessage.ReportCache>> reports = new HashMap<>();
    private long nextLookup = 1;
    private long nextReportMillis;

    /**
     * Creates an empty share.
     *
     * @param context the router's context
     * @param membership the peers
     * @param upstreams the engines
     */
    public DirectorySystem(RouterContext context, MembershipSystem membership, UpstreamSystem upstreams) {
        this.context = context;
        this.membership = membership;
        this.upstreams = upstreams;
    }

    private record Pending(EntryVmId owner, long expiresAtMillis, Consumer<List<PeerMessage.PrefixMatch>> receiver) {}

    /**
     * Asks who holds how much of a prompt.
     *
     * @param chain the prompt's chain
     * @param traceparent the W3C trace context of the request
     * @param receiver takes the matches, possibly none; called once, at once when this router is the owner
     */
    public void lookup(PrefixChain chain, String traceparent, Consumer<List<PeerMessage.PrefixMatch>> receiver) {
        if (chain.checkpoints().length == 0 || !context.settings().prefixAffinity()) {
            receiver.accept(List.of());
            return;
        }
        Optional<EntryVmId> owner = ownerOf(chain.anchor());
        if (owner.isEmpty()) {
            receiver.accept(List.of());
        } else if (owner.get().equals(context.selfId())) {
            receiver.accept(directory.lookup(chain.checkpoints(), context.now()));
        } else {
            askOwner(owner.get(), chain, traceparent, receiver);
        }
    }

    private void askOwner(
            EntryVmId owner, PrefixChain chain, String traceparent, Consumer<List<PeerMessage.PrefixMatch>> receiver) {
        long number = nextLookup++;
        long expiresAt = context.now() + context.settings().lookupBudgetMillis();
        pending.put(number, new Pending(owner, expiresAt, receiver));
        long[] asked = chain.checkpoints();
        if (asked.length > LONGEST_LOOKUP) {
            asked = Arrays.copyOf(asked, LONGEST_LOOKUP);
        }
        context.count("directory.remote-lookups");
        membership.send(owner, new PeerMessage.AskDirectory(number, asked, traceparent));
    }

    /**
     * Answers a peer's question.
     *
     * @param from the peer
     * @param question the question
     */
    public void receive(EntryVmId from, PeerMessage.AskDirectory question) {
        List<PeerMessage.PrefixMatch> matches = directory.lookup(question.checkpoints(), context.now());
        membership.send(from, new PeerMessage.TellDirectory(question.lookup(), matches));
    }

    /**
     * Takes a peer's answer.
     *
     * @param from the peer
     * @param answer the answer
     */
    public void receive(EntryVmId from, PeerMessage.TellDirectory answer) {
        Pending asked = pending.get(answer.lookup());
        if (asked == null || !asked.owner().equals(from)) {
            context.count("directory.late-answers");
            return;
        }
        pending.remove(answer.lookup());
        asked.receiver().accept(answer.matches());
    }

    /**
     * Takes a peer's evidence about chains that this router keeps.
     *
     * @param report the evidence
     */
    public void receive(PeerMessage.ReportCache report) {
        for (CacheRun run : report.runs()) {
            directory.recordStored(report.engine(), report.incarnation(), run.stored(), context.now());
            directory.recordEvicted(report.engine(), report.incarnation(), run.evicted());
        }
    }

    /**
     * Takes cache events that this router read from an engine.
     *
     * @param events the events
     */
    public void receiveCacheEvents(CacheEvents events) {
        UpstreamRow row = upstreams.receiveCacheEvents(events);
        if (row == null) {
            return;
        }
        for (CacheRun run : events.runs()) {
            report(events.engine(), events.incarnation(), run);
        }
    }

    /**
     * Remembers that an engine is about to compute a prompt and will then hold it.
     *
     * @param engine the engine
     * @param incarnation its life
     * @param chain the prompt's chain
     */
    public void recordExpectedPrefix(UpstreamId engine, long incarnation, PrefixChain chain) {
        if (chain.checkpoints().length > 0) {
            report(engine, incarnation, new CacheRun(chain.anchor(), chain.checkpoints(), new long[0]));
        }
    }

    private void report(UpstreamId engine, long incarnation, CacheRun run) {
        Optional<EntryVmId> owner = ownerOf(run.anchor());
        if (owner.isEmpty()) {
            return;
        }
        if (owner.get().equals(context.selfId())) {
            directory.recordStored(engine, incarnation, run.stored(), context.now());
            directory.recordEvicted(engine, incarnation, run.evicted());
            return;
        }
        Map<UpstreamId, PeerMessage.ReportCache> gathered =
                reports.computeIfAbsent(owner.get(), key -> new LinkedHashMap<>());
        PeerMessage.ReportCache earlier = gathered.get(engine);
        List<CacheRun> runs = new ArrayList<>();
        if (earlier != null && earlier.incarnation() == incarnation) {
            runs = earlier.runs();
        }
        runs.add(run);
        gathered.put(engine, new PeerMessage.ReportCache(engine, incarnation, runs));
    }

    /** Ends lookups whose budget is used up, sends gathered evidence and drops old evidence. */
    public void run() {
        long now = context.now();
        endLateLookups(now);
        if (now >= nextReportMillis) {
            nextReportMillis = now + REPORT_INTERVAL_MILLIS;
            reports.forEach((owner, gathered) -> gathered.values().forEach(batch -> membership.send(owner, batch)));
            reports.clear();
        }
        directory.sweep(now, SWEPT_ROWS);
    }

    private void endLateLookups(long now) {
        List<Pending> late = new ArrayList<>();
        pending.values().removeIf(lookup -> {
            boolean over = now >= lookup.expiresAtMillis();
            if (over) {
                late.add(lookup);
            }
            return over;
        });
        for (Pending lookup : late) {
            context.count("directory.lookup-timeouts");
            lookup.receiver().accept(List.of());
        }
    }

    /**
     * Returns the number of checkpoints that this router keeps.
     *
     * @return rows
     */
    public int size() {
        return directory.size();
    }

    private Optional<EntryVmId> ownerOf(long anchor) {
        return membership.owner("anchor/" + anchor);
    }
}
