package org.fuchsiatrail.internal.upstreams;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.router.RouterContext;

/** Keeps the table of upstreams from the configuration, load reports and peers; one router reads each engine. */
public final class UpstreamSystem {

    /** How long an upstream is avoided after its first failure, in milliseconds; doubled by each further one. */
    private static final long FIRST_AVOIDANCE_MILLIS = 250;

    /** How long a peer's word that an upstream is leaving is good, in milliseconds. */
    private static final long LEAVING_WORD_MILLIS = 10_000;

    /** The longest avoidance after failures, in milliseconds. */
    private static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

    /** Without a report for this long, every router asks the engine itself, in milliseconds. */
    private static final long STALE_LOAD_MILLIS = 2_000;

    private final RouterContext context;
    private final MembershipSystem membership;
    private final Consumer<UpstreamRow> incarnationChanged;
    private final Map<UpstreamId, UpstreamRow> rows = new TreeMap<>();
    private final Set<UpstreamId> drainOrders = new HashSet<>();
    private List<UpstreamRow> engines = List.of();
    private List<UpstreamRow> readEngines = List.of();
    private long readersVersion = -1;

    /**
     * Creates an empty table.
     *
     * @param context the router's context
     * @param membership the peers
     * @param incarnationChanged told when an engine is seen in a new life
     */
    public UpstreamSystem(
            RouterContext context, MembershipSystem membership, Consumer<UpstreamRow> incarnationChanged) {
        this.context = context;
        this.membership = membership;
        this.incarnationChanged = incarnationChanged;
    }

    /**
     * Makes the table match a configuration.
     *
     * @param intent the configuration
     */
    public void configure(Intent intent) {
        Set<UpstreamId> named = new HashSet<>();
        for (Intent.Upstream upstream : intent.upstreams()) {
            UpstreamId id = new UpstreamId(upstream.id());
            named.add(id);
            UpstreamRow row = rows.computeIfAbsent(id, UpstreamRow::new);
            row.domain = new FailureDomain(upstream.failureDomain());
            endDrainThatIntentEnds(row, upstream);
            row.intent = upstream;
            row.drainOrdered = drainOrders.contains(id);
        }
        rows.keySet().retainAll(named);
        engines = rows.values().stream()
                .filter(row -> row.intent.kind() == Intent.UpstreamKind.ENGINE)
                .toList();
        readersVersion = -1;
    }

    /** An operator ends a drain by an intent that no longer drains what the one before drained. */
    private void endDrainThatIntentEnds(UpstreamRow row, Intent.Upstream wanted) {
        boolean ends = row.intent != null && row.intent.draining() && !wanted.draining();
        if (ends) {
            drainOrders.remove(row.id());
        }
    }

    /** Shares the reading of engines out again after the routers or the engines changed. */
    private void assignReaders() {
        if (readersVersion == membership.ownersVersion()) {
            return;
        }
        readersVersion = membership.ownersVersion();
        readEngines = engines.stream().filter(this::ranksFirst).toList();
        engines.forEach(row -> row.readHere = readEngines.contains(row));
        List<EntryVmId> owners = membership.owners().stream().map(EntryVm::id).toList();
        engines.forEach(row -> row.forgetPeers(owners));
    }

    /** Asks engines for their load and their cache events, and takes leaving VMs from the platform's list. */
    public void run() {
        long now = context.now();
        assignReaders();
        takeLeavingFromList();
        rows.values().forEach(row -> row.saidToLeave = now < row.saidToLeaveUntilMillis);
        for (UpstreamRow row : engines) {
            if (now < row.nextLoadMillis) {
                continue;
            }
            boolean reader = row.readHere;
            boolean stale = now - row.loadHeardAtMillis > STALE_LOAD_MILLIS;
            if (reader || stale) {
                long spread = context.random().nextLong(context.settings().loadIntervalMillis() / 4 + 1);
                row.nextLoadMillis = now + context.settings().loadIntervalMillis() + spread;
                context.emit(new Output.QueryLoad(row.id(), row.address()));
            }
            if (reader) {
                context.emit(new Output.ReadCacheEvents(row.id(), row.address(), row.nextEventSequence));
            }
        }
    }

    /** Tells whether this router ranks first of the engine's failure domain, as it sees the peers. */
    private boolean ranksFirst(UpstreamRow row) {
        List<EntryVm> ranked = membership.rankedWithin("reader/" + row.id(), row.domain);
        return ranked.isEmpty() || ranked.get(0).id().equals(context.selfId());
    }

    /**
     * Takes a load report, from the engine or through a peer.
     *
     * @param report the report
     */
    public void receiveLoadReport(LoadReport report) {
        UpstreamRow row = rows.get(report.engine());
        if (row == null) {
            return;
        }
        if (report.incarnation() < row.incarnation) {
            context.count("engines.old-incarnation-reports");
            return;
        }
        boolean older = row.load != null
                && report.incarnation() == row.incarnation
                && report.takenAtMillis() < row.load.takenAtMillis();
        if (older) {
            return;
        }
        seeIncarnation(row, report.incarnation());
        row.takeLoad(report, context.now());
    }

    /**
     * Remembers that an engine did not answer a question for its load.
     *
     * @param engine the engine
     */
    public void loadQueryFailed(UpstreamId engine) {
        UpstreamRow row = rows.get(engine);
        if (row != null) {
            failed(row);
        }
    }

    /**
     * Takes the sequence of cache events read from an engine.
     *
     * @param events the events
     * @return the row, or null when the events are of no use
     */
    public UpstreamRow receiveCacheEvents(CacheEvents events) {
        UpstreamRow row = rows.get(events.engine());
        if (row == null || events.incarnation() < row.incarnation) {
            return null;
        }
        if (seeIncarnation(row, events.incarnation())) {
            row.nextEventSequence = 0;
        }
        if (events.firstSequence() > row.nextEventSequence) {
            context.count("directory.event-gaps");
        }
        row.nextEventSequence = Math.max(row.nextEventSequence, events.nextSequence());
        return row;
    }

    /**
     * Takes the life of an engine that an answer or report named.
     *
     * @param row the engine
     * @param incarnation its life
     * @return true when it is a new one
     */
    public boolean seeIncarnation(UpstreamRow row, long incarnation) {
        if (incarnation <= row.incarnation) {
            return false;
        }
        boolean restarted = row.incarnation != 0;
        row.incarnation = incarnation;
        if (restarted) {
            context.log("engines", "Engine restarted.", "engine", row.id(), "incarnation", incarnation);
            row.load = null;
            row.nextEventSequence = 0;
            incarnationChanged.accept(row);
        }
        return restarted;
    }

    /**
     * Remembers a failure of an upstream and avoids it for a while.
     *
     * @param row the upstream
     */
    public void failed(UpstreamRow row) {
        long now = context.now();
        if (!row.reachable(now)) {
            return;
        }
        long avoidance = Math.min(LONGEST_AVOIDANCE_MILLIS, FIRST_AVOIDANCE_MILLIS << Math.min(row.failures, 5));
        row.failures++;
        row.avoidUntilMillis = now + avoidance;
        context.log("engines", "Upstream failed.", "upstream", row.id(), "avoidedMillis", avoidance);
    }

    /**
     * Stops new work to an upstream.
     *
     * @param id the upstream
     * @return true when this was news
     */
    public boolean drain(UpstreamId id) {
        boolean news = drainOrders.add(id);
        UpstreamRow row = rows.get(id);
        if (row != null) {
            row.drainOrdered = true;
        }
        if (news) {
            context.log("engines", "Upstream is draining.", "upstream", id);
        }
        return news;
    }

    /**
     * Takes the word of a peer, or of the upstream itself, that it is leaving; good for some seconds unless repeated.
     *
     * @param id the upstream
     */
    public void markLeaving(UpstreamId id) {
        UpstreamRow row = rows.get(id);
        if (row != null) {
            row.saidToLeave = true;
            row.saidToLeaveUntilMillis = context.now() + LEAVING_WORD_MILLIS;
        }
    }

    /**
     * Takes the work that a peer has in flight.
     *
     * @param peer the peer
     * @param assigned its work
     */
    public void receivePeerWork(EntryVmId peer, List<PeerMessage.AssignedTokens> assigned) {
        for (UpstreamRow row : engines) {
            row.takePeerTokens(peer, 0);
        }
        for (PeerMessage.AssignedTokens work : assigned) {
            UpstreamRow row = rows.get(work.engine());
            if (row != null) {
                row.takePeerTokens(peer, work.tokens());
            }
        }
    }

    /**
     * Returns the load reports of the engines this router reads.
     *
     * @return reports
     */
    public List<LoadReport> ownLoadReports() {
        List<LoadReport> reports = new ArrayList<>();
        for (UpstreamRow row : readEngines) {
            if (row.load != null) {
                reports.add(row.load);
            }
        }
        return reports;
    }

    /**
     * Returns this router's work in flight.
     *
     * @return tokens by engine, engines without work left out
     */
    public List<PeerMessage.AssignedTokens> ownAssignedTokens() {
        List<PeerMessage.AssignedTokens> work = new ArrayList<>();
        for (UpstreamRow row : engines) {
            if (row.ownTokens() > 0) {
                work.add(new PeerMessage.AssignedTokens(row.id(), row.ownTokens()));
            }
        }
        return work;
    }

    /**
     * Returns the upstreams that operators ordered to drain.
     *
     * @return names
     */
    public List<String> drainingUpstreams() {
        return drainOrders.stream().map(UpstreamId::value).sorted().toList();
    }

    /**
     * Returns the upstreams that this router itself sees leaving.
     *
     * @return names
     */
    public List<String> leavingUpstreams() {
        return rows.values().stream()
                .filter(UpstreamRow::seenLeaving)
                .map(row -> row.id().value())
                .toList();
    }

    /**
     * Returns one row.
     *
     * @param id the upstream
     * @return the row, or null
     */
    public UpstreamRow row(UpstreamId id) {
        return rows.get(id);
    }

    /**
     * Returns the engines.
     *
     * @return rows by name
     */
    public List<UpstreamRow> engines() {
        return engines;
    }

    /**
     * Returns all upstreams.
     *
     * @return rows by name
     */
    public Collection<UpstreamRow> rows() {
        return rows.values();
    }

    private void takeLeavingFromList() {
        for (EntryVm vm : membership.listed()) {
            UpstreamRow row = rows.get(new UpstreamId(vm.id().value()));
            if (row != null) {
                row.listedLeaving = vm.leaving();
            }
        }
    }
}
