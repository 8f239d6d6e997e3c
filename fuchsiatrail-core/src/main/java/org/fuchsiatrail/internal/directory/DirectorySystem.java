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
 * The cache directory, partitioned among the routers: the owner of a chain's anchor (its first checkpoint) keeps the
 * chain.
 *
 * <p>Holders are recorded from cache events of engines, when a request is dispatched, and again when the engine has
 * finished the prefill, then with the incarnation that ran it. A lookup without a response within the budget ends
 * without matches, and the caller of {@link #lookup} falls back to placement by hash.
 */
public final class DirectorySystem {

    /** The lifetime of a recorded holder without a new report. */
    private static final long ENTRY_LIFETIME_MILLIS = 120_000;

    /** The maximum number of checkpoints that one router keeps. */
    private static final int MAXIMUM_CHECKPOINTS = 400_000;

    /** The number of rows checked for expiry in each tick. */
    private static final int ROWS_SWEPT_PER_TICK = 200;

    /** The interval at which reports for one owner are batched into messages. */
    private static final long REPORT_INTERVAL_MILLIS = 20;

    /** The maximum number of checkpoints of one prompt that are looked up at another router. */
    private static final int MAXIMUM_LOOKUP_CHECKPOINTS = 512;

    private final RouterContext context;
    private final MembershipSystem membership;
    private final UpstreamSystem upstreams;
    private final CacheDirectory directory = new CacheDirectory(ENTRY_LIFETIME_MILLIS, MAXIMUM_CHECKPOINTS);
    private final Map<Long, PendingLookup> pendingLookups = new LinkedHashMap<>();
    private final Map<EntryVmId, Map<UpstreamId, PeerMessage.ReportCache>> pendingReports = new HashMap<>();
    private long nextLookupNumber = 1;
    private long nextReportMillis;

    /**
     * Creates an empty partition of the directory.
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

    private record PendingLookup(
            EntryVmId owner, long expiresAtMillis, Consumer<List<PeerMessage.PrefixMatch>> callback) {}

    /**
     * Looks up the engines that hold a prefix of a prompt.
     *
     * @param chain the prefix chain of the prompt
     * @param traceparent the W3C trace context of the request
     * @param callback receives the matches, possibly none; called once, and synchronously when this router is the owner
     */
    public void lookup(PrefixChain chain, String traceparent, Consumer<List<PeerMessage.PrefixMatch>> callback) {
        if (chain.checkpoints().length == 0 || !context.settings().prefixAffinity()) {
            callback.accept(List.of());
            return;
        }
        Optional<EntryVmId> owner = ownerOf(chain.anchor());
        if (owner.isEmpty()) {
            callback.accept(List.of());
        } else if (owner.get().equals(context.selfId())) {
            callback.accept(directory.lookup(chain.checkpoints(), context.now()));
        } else {
            queryOwner(owner.get(), chain, traceparent, callback);
        }
    }

    private void queryOwner(
            EntryVmId owner, PrefixChain chain, String traceparent, Consumer<List<PeerMessage.PrefixMatch>> callback) {
        long number = nextLookupNumber++;
        long expiresAtMillis = context.now() + context.settings().lookupBudgetMillis();
        pendingLookups.put(number, new PendingLookup(owner, expiresAtMillis, callback));
        long[] checkpoints = chain.checkpoints();
        if (checkpoints.length > MAXIMUM_LOOKUP_CHECKPOINTS) {
            checkpoints = Arrays.copyOf(checkpoints, MAXIMUM_LOOKUP_CHECKPOINTS);
        }
        context.count("directory.remote-lookups");
        membership.send(owner, new PeerMessage.AskDirectory(number, checkpoints, traceparent));
    }

    /**
     * Responds to the lookup of a peer.
     *
     * @param from the peer
     * @param query the lookup
     */
    public void receive(EntryVmId from, PeerMessage.AskDirectory query) {
        List<PeerMessage.PrefixMatch> matches = directory.lookup(query.checkpoints(), context.now());
        membership.send(from, new PeerMessage.TellDirectory(query.lookup(), matches));
    }

    /**
     * Receives the response of a peer to a lookup.
     *
     * @param from the peer
     * @param response the response
     */
    public void receive(EntryVmId from, PeerMessage.TellDirectory response) {
        PendingLookup lookup = pendingLookups.get(response.lookup());
        if (lookup == null || !lookup.owner().equals(from)) {
            context.count("directory.late-answers");
            return;
        }
        pendingLookups.remove(response.lookup());
        lookup.callback().accept(response.matches());
    }

    /**
     * Receives a cache report of a peer about chains that this router owns.
     *
     * @param report the report
     */
    public void receive(PeerMessage.ReportCache report) {
        for (CacheRun run : report.runs()) {
            directory.recordStored(report.engine(), report.incarnation(), run.stored(), context.now());
            directory.recordEvicted(report.engine(), report.incarnation(), run.evicted());
        }
    }

    /**
     * Receives cache events that this router read from an engine.
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
     * Records that an engine runs the prefill of a prompt, or has finished it, so that its cache holds the prefix.
     *
     * @param engine the engine
     * @param incarnation the incarnation of the engine
     * @param chain the prefix chain of the prompt
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
        Map<UpstreamId, PeerMessage.ReportCache> batched =
                pendingReports.computeIfAbsent(owner.get(), key -> new LinkedHashMap<>());
        PeerMessage.ReportCache previous = batched.get(engine);
        List<CacheRun> runs = new ArrayList<>();
        if (previous != null && previous.incarnation() == incarnation) {
            runs = previous.runs();
        }
        runs.add(run);
        batched.put(engine, new PeerMessage.ReportCache(engine, incarnation, runs));
    }

    /** Ends lookups whose budget is exceeded, sends batched reports and removes expired holders. */
    public void run() {
        long now = context.now();
        expireLookups(now);
        if (now >= nextReportMillis) {
            nextReportMillis = now + REPORT_INTERVAL_MILLIS;
            pendingReports.forEach(
                    (owner, batched) -> batched.values().forEach(report -> membership.send(owner, report)));
            pendingReports.clear();
        }
        directory.sweep(now, ROWS_SWEPT_PER_TICK);
    }

    private void expireLookups(long now) {
        List<PendingLookup> expired = new ArrayList<>();
        pendingLookups.values().removeIf(lookup -> {
            boolean isExpired = now >= lookup.expiresAtMillis();
            if (isExpired) {
                expired.add(lookup);
            }
            return isExpired;
        });
        for (PendingLookup lookup : expired) {
            context.count("directory.lookup-timeouts");
            lookup.callback().accept(List.of());
        }
    }

    /**
     * Returns the number of checkpoints that this router keeps.
     *
     * @return the number of rows
     */
    public int size() {
        return directory.size();
    }

    private Optional<EntryVmId> ownerOf(long anchor) {
        return membership.owner("anchor/" + anchor);
    }
}
