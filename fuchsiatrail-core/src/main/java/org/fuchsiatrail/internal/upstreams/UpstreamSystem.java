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

/**
 * Maintains the table of upstreams from the configuration, load reports and peer updates.
 *
 * <p>Each engine has one reader, which queries its load and its cache events: a router of the engine's failure domain
 * if there is one, otherwise any router.
 */
public final class UpstreamSystem {

    /** The backoff after an upstream's first failure, in milliseconds; each further failure doubles it. */
    private static final long INITIAL_BACKOFF_MILLIS = 250;

    /** How long a report that an upstream is draining remains valid unless repeated, in milliseconds. */
    private static final long LEAVING_REPORT_VALIDITY_MILLIS = 10_000;

    /** The maximum backoff after failures, in milliseconds. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 4_000;

    /** The age of an engine's last load report after which every router queries the engine itself, in milliseconds. */
    private static final long STALE_LOAD_MILLIS = 2_000;

    private final RouterContext context;
    private final MembershipSystem membership;
    private final Consumer<UpstreamRow> incarnationChanged;
    private final Map<UpstreamId, UpstreamRow> rows = new TreeMap<>();
    private final Set<UpstreamId> drainOrders = new HashSet<>();
    private List<UpstreamRow> engines = List.of();
    private List<UpstreamRow> enginesToRead = List.of();
    private long assignedOwnersVersion = -1;

    /**
     * Creates an empty table.
     *
     * @param context the router's context
     * @param membership the known routers
     * @param incarnationChanged called when a known engine has a new incarnation
     */
    public UpstreamSystem(
            RouterContext context, MembershipSystem membership, Consumer<UpstreamRow> incarnationChanged) {
        this.context = context;
        this.membership = membership;
        this.incarnationChanged = incarnationChanged;
    }

    /**
     * Updates the table to match a configuration.
     *
     * @param intent the configuration
     */
    public void configure(Intent intent) {
        Set<UpstreamId> configured = new HashSet<>();
        for (Intent.Upstream upstream : intent.upstreams()) {
            UpstreamId id = new UpstreamId(upstream.id());
            configured.add(id);
            UpstreamRow row = rows.computeIfAbsent(id, UpstreamRow::new);
            row.domain = new FailureDomain(upstream.failureDomain());
            endDrainOnIntentChange(row, upstream);
            row.intent = upstream;
            row.drainOrdered = drainOrders.contains(id);
        }
        rows.keySet().retainAll(configured);
        engines = rows.values().stream()
                .filter(row -> row.intent.kind() == Intent.UpstreamKind.ENGINE)
                .toList();
        assignedOwnersVersion = -1;
    }

    /** Removes a drain order when the previous configuration drained the upstream and the new one does not. */
    private void endDrainOnIntentChange(UpstreamRow row, Intent.Upstream newIntent) {
        boolean drainEnded = row.intent != null && row.intent.draining() && !newIntent.draining();
        if (drainEnded) {
            drainOrders.remove(row.id());
        }
    }

    /** Reassigns the readers of engines after the set of routers or engines changed. */
    private void assignReaders() {
        if (assignedOwnersVersion == membership.ownersVersion()) {
            return;
        }
        assignedOwnersVersion = membership.ownersVersion();
        enginesToRead = engines.stream().filter(this::isReaderOf).toList();
        engines.forEach(row -> row.readByThisRouter = enginesToRead.contains(row));
        List<EntryVmId> owners = membership.owners().stream().map(EntryVm::id).toList();
        engines.forEach(row -> row.retainPeers(owners));
    }

    /** Updates which upstreams are draining, and queries engines for their load and their cache events. */
    public void run() {
        long now = context.now();
        assignReaders();
        updateLeavingFromMembership();
        rows.values().forEach(row -> row.reportedLeaving = now < row.reportedLeavingUntilMillis);
        for (UpstreamRow row : engines) {
            if (now < row.nextLoadQueryMillis) {
                continue;
            }
            boolean isReader = row.readByThisRouter;
            boolean loadIsStale = now - row.loadReceivedAtMillis > STALE_LOAD_MILLIS;
            if (isReader || loadIsStale) {
                long jitterMillis = context.random().nextLong(context.settings().loadIntervalMillis() / 4 + 1);
                row.nextLoadQueryMillis = now + context.settings().loadIntervalMillis() + jitterMillis;
                context.emit(new Output.QueryLoad(row.id(), row.address()));
            }
            if (isReader) {
                context.emit(new Output.ReadCacheEvents(row.id(), row.address(), row.nextEventSequence));
            }
        }
    }

    /** Returns whether this router ranks first for the engine, among the known routers. */
    private boolean isReaderOf(UpstreamRow row) {
        List<EntryVm> ranked = membership.rankedWithin("reader/" + row.id(), row.domain);
        return ranked.isEmpty() || ranked.get(0).id().equals(context.selfId());
    }

    /**
     * Applies a load report from the engine or from a peer; outdated reports are dropped.
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
        boolean outdated = row.load != null
                && report.incarnation() == row.incarnation
                && report.takenAtMillis() < row.load.takenAtMillis();
        if (outdated) {
            return;
        }
        updateIncarnation(row, report.incarnation());
        row.applyLoadReport(report, context.now());
    }

    /**
     * Records a failure of an engine that did not respond to a load query.
     *
     * @param engine the engine's id
     */
    public void loadQueryFailed(UpstreamId engine) {
        UpstreamRow row = rows.get(engine);
        if (row != null) {
            recordFailure(row);
        }
    }

    /**
     * Updates the position in an engine's sequence of cache events.
     *
     * @param events the events read from the engine
     * @return the engine's row, or null when the engine is unknown or the events are of an older incarnation
     */
    public UpstreamRow receiveCacheEvents(CacheEvents events) {
        UpstreamRow row = rows.get(events.engine());
        if (row == null || events.incarnation() < row.incarnation) {
            return null;
        }
        if (updateIncarnation(row, events.incarnation())) {
            row.nextEventSequence = 0;
        }
        if (events.firstSequence() > row.nextEventSequence) {
            context.count("directory.event-gaps");
        }
        row.nextEventSequence = Math.max(row.nextEventSequence, events.nextSequence());
        return row;
    }

    /**
     * Applies the incarnation contained in an engine's response or report.
     *
     * @param row the engine's row
     * @param incarnation the incarnation
     * @return true when the engine has restarted since the last known incarnation
     */
    public boolean updateIncarnation(UpstreamRow row, long incarnation) {
        if (incarnation <= row.incarnation) {
            return false;
        }
        boolean restarted = row.incarnation != 0;
        row.incarnation = incarnation;
        if (restarted) {
            context.log(
                    "engines",
                    "Engine restarted; its previous load and cache state are discarded.",
                    "engine",
                    row.id(),
                    "incarnation",
                    incarnation);
            row.load = null;
            row.nextEventSequence = 0;
            incarnationChanged.accept(row);
        }
        return restarted;
    }

    /**
     * Records a failure of an upstream and starts a backoff, unless one is in progress.
     *
     * @param row the upstream's row
     */
    public void recordFailure(UpstreamRow row) {
        long now = context.now();
        if (!row.reachable(now)) {
            return;
        }
        long backoffMillis =
                Math.min(MAXIMUM_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(row.consecutiveFailures, 5));
        row.consecutiveFailures++;
        row.backoffUntilMillis = now + backoffMillis;
        context.log(
                "engines",
                "Upstream failed; no new work until the backoff ends.",
                "upstream",
                row.id(),
                "avoidedMillis",
                backoffMillis);
    }

    /**
     * Records an operator's order to drain an upstream, which gets no new work from then on.
     *
     * @param id the upstream
     * @return true when the order was not known before
     */
    public boolean drain(UpstreamId id) {
        boolean added = drainOrders.add(id);
        UpstreamRow row = rows.get(id);
        if (row != null) {
            row.drainOrdered = true;
        }
        if (added) {
            context.log("engines", "Upstream is draining; no new work is sent to it.", "upstream", id);
        }
        return added;
    }

    /**
     * Records a report of a peer, or of the upstream itself, that it is draining; the report expires unless repeated.
     *
     * @param id the upstream
     */
    public void markLeaving(UpstreamId id) {
        UpstreamRow row = rows.get(id);
        if (row != null) {
            row.reportedLeaving = true;
            row.reportedLeavingUntilMillis = context.now() + LEAVING_REPORT_VALIDITY_MILLIS;
        }
    }

    /**
     * Replaces the work that a peer has in flight.
     *
     * @param peer the peer
     * @param assigned the peer's tokens in flight by engine
     */
    public void receivePeerWork(EntryVmId peer, List<PeerMessage.AssignedTokens> assigned) {
        for (UpstreamRow row : engines) {
            row.setPeerTokens(peer, 0);
        }
        for (PeerMessage.AssignedTokens work : assigned) {
            UpstreamRow row = rows.get(work.engine());
            if (row != null) {
                row.setPeerTokens(peer, work.tokens());
            }
        }
    }

    /**
     * Returns the load reports of the engines whose reader is this router.
     *
     * @return reports
     */
    public List<LoadReport> ownLoadReports() {
        List<LoadReport> reports = new ArrayList<>();
        for (UpstreamRow row : enginesToRead) {
            if (row.load != null) {
                reports.add(row.load);
            }
        }
        return reports;
    }

    /**
     * Returns this router's work in flight.
     *
     * @return tokens by engine, without engines that have no work
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
     * @return ids in order
     */
    public List<String> drainingUpstreams() {
        return drainOrders.stream().map(UpstreamId::value).sorted().toList();
    }

    /**
     * Returns the upstreams that are draining according to their own load report or the platform's list.
     *
     * @return ids in order
     */
    public List<String> leavingUpstreams() {
        return rows.values().stream()
                .filter(UpstreamRow::observedLeaving)
                .map(row -> row.id().value())
                .toList();
    }

    /**
     * Returns one row.
     *
     * @param id the upstream
     * @return the row, or null when the upstream is unknown
     */
    public UpstreamRow row(UpstreamId id) {
        return rows.get(id);
    }

    /**
     * Returns the engines.
     *
     * @return rows in order of their ids
     */
    public List<UpstreamRow> engines() {
        return engines;
    }

    /**
     * Returns all upstreams.
     *
     * @return rows in order of their ids
     */
    public Collection<UpstreamRow> rows() {
        return rows.values();
    }

    private void updateLeavingFromMembership() {
        for (EntryVm vm : membership.listed()) {
            UpstreamRow row = rows.get(new UpstreamId(vm.id().value()));
            if (row != null) {
                row.listedAsLeaving = vm.leaving();
            }
        }
    }
}
