package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Reads the cache events of engines and KV cache stores and reports them to the other routers of the failure domain.
 *
 * <p>Load pattern: each engine's cache changes hundreds of times a second, mostly in parts that only one request uses.
 * Within a failure domain a single router reads each cache, so that the cost per router falls as routers are added and
 * the cost to an engine does not grow. Only changes of parts that requests are known to share are reported.
 */
final class CacheEventReader {

    /** How long a request for cache events waits for a change, in milliseconds; the longest wait that engines allow. */
    private static final long LONG_POLL_MILLIS = 1_000;

    /** Interval between requests to one cache, in milliseconds; engines report changes about 80 ms late themselves. */
    private static final long POLL_INTERVAL_MILLIS = 150;

    /** The same in a fleet with relays, in milliseconds, so that each report contains more changes. */
    private static final long RELAYED_POLL_INTERVAL_MILLIS = 600;

    /** Interval after a failed request, in milliseconds. */
    private static final long RETRY_INTERVAL_MILLIS = 1_000;

    /**
     * How long after its start a router assigns caches to peers from which it has received no update yet, in
     * milliseconds.
     */
    private static final long STARTUP_MILLIS = 2_000;

    /**
     * Epoch of a cache that has not responded or whose changes were missed; its snapshot is requested next.
     */
    private static final long UNKNOWN_EPOCH = Long.MIN_VALUE;

    /**
     * Interval between assignments of caches to routers, in milliseconds; an unresponsive reader is replaced after it.
     */
    private static final long ASSIGNMENT_INTERVAL_MILLIS = 500;

    /** The same during start-up, while a router discovers which caches exist, in milliseconds. */
    private static final long STARTUP_ASSIGNMENT_INTERVAL_MILLIS = 50;

    /**
     * Interval at which an empty report is sent for an unchanged cache, in milliseconds; peers rely on a cache report
     * for 4 s.
     */
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 1_000;

    /** The same in a fleet with relays, in milliseconds. */
    private static final long RELAYED_KEEP_ALIVE_INTERVAL_MILLIS = 2_000;

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final UpstreamTable upstreams;
    private final PeerGossip gossip;
    private final Map<UpstreamId, ReadState> readStates = new HashMap<>();
    /** The routers among which caches are divided, and whether each cache is assigned to this one of them. */
    private List<EntryVm> readers = List.of();

    private final Map<UpstreamId, Boolean> assignedHere = new HashMap<>();
    private final String readerId;
    private long lastReportNumber;
    private long nextAssignmentAtMillis;

    /** Progress of reading one cache. */
    private static final class ReadState {
        final String address;
        boolean requestPending;
        boolean failed;
        long reportedAtMillis;
        long nextRequestAtMillis;
        long cursor;
        long epoch = UNKNOWN_EPOCH;

        ReadState(String address) {
            this.address = address;
        }
    }

    CacheEventReader(ForwardingContext context, StoreReplica storeReplica, UpstreamTable upstreams, PeerGossip gossip) {
        this.context = context;
        this.storeReplica = storeReplica;
        this.upstreams = upstreams;
        this.gossip = gossip;
        this.readerId = Long.toUnsignedString(context.random().nextLong(), Character.MAX_RADIX);
    }

    void run() {
        if (context.stopping()) {
            return;
        }
        if (context.now() >= nextAssignmentAtMillis) {
            assignCaches();
        }
        readStates.forEach(this::poll);
    }

    /** Determines which caches this router reads. */
    private void assignCaches() {
        boolean starting = context.uptimeMillis() < STARTUP_MILLIS;
        nextAssignmentAtMillis =
                context.now() + (starting ? STARTUP_ASSIGNMENT_INTERVAL_MILLIS : ASSIGNMENT_INTERVAL_MILLIS);
        context.wakeAt(nextAssignmentAtMillis);
        List<EntryVm> candidates = eligibleReaders();
        Map<UpstreamId, String> addresses = new LinkedHashMap<>();
        for (UpstreamState engine : upstreams.all()) {
            if (!engine.weightVersions.isEmpty() && !engine.awaitsProbe) {
                addresses.put(engine.id(), engine.entry.address());
            }
        }
        for (ServiceDefinition store :
                storeReplica.routing().map(RoutingTable::kvCacheStores).orElse(List.of())) {
            UpstreamId id = new UpstreamId(store.name());
            upstreams.kvCacheStore(id);
            addresses.put(id, store.kvCacheStore().orElseThrow().address());
        }
        if (!candidates.equals(readers)) {
            readers = candidates;
            assignedHere.clear();
        }
        assignedHere.keySet().retainAll(addresses.keySet());
        addresses.keySet().removeIf(holder -> !assignedHere.computeIfAbsent(holder, this::isAssignedHere));
        readStates.entrySet().removeIf(entry -> !entry.getValue().address.equals(addresses.get(entry.getKey())));
        addresses.forEach((holder, address) -> readStates.computeIfAbsent(holder, id -> new ReadState(address)));
    }

    private List<EntryVm> eligibleReaders() {
        EntryVm self = context.settings().self();
        List<EntryVm> candidates = new ArrayList<>();
        candidates.add(self);
        for (StoreItemContent.Member member : storeReplica.members()) {
            EntryVm vm = member.vm();
            boolean sameDomain = vm.failureDomain().equals(self.failureDomain());
            if (sameDomain
                    && !vm.id().equals(self.id())
                    && (context.uptimeMillis() < STARTUP_MILLIS || gossip.expectsUpdatesFrom(vm.id()))) {
                candidates.add(vm);
            }
        }
        return candidates;
    }

    private boolean isAssignedHere(UpstreamId holder) {
        EntryVm assigned =
                Rendezvous.first(holder.value(), readers, vm -> vm.id().value()).orElseThrow();
        return assigned.id().equals(context.settings().self().id());
    }

    private void poll(UpstreamId holder, ReadState state) {
        if (state.requestPending) {
            return;
        }
        if (context.now() < state.nextRequestAtMillis) {
            return;
        }
        state.requestPending = true;
        context.emit(
                state.epoch == UNKNOWN_EPOCH
                        ? new ForwardingOutput.ReadCacheSnapshot(holder, state.address)
                        : new ForwardingOutput.ReadCacheEvents(holder, state.address, state.cursor, LONG_POLL_MILLIS));
    }

    /** Handles the reply of a cache. */
    void receive(UpstreamId holder, CacheEventsReply reply) {
        ReadState state = readStates.get(holder);
        if (state == null) {
            return;
        }
        state.requestPending = false;
        switch (reply) {
            case CacheEventsReply.Snapshot snapshot -> {
                context.log(
                        "caches",
                        "Cache snapshot read.",
                        "holder",
                        holder,
                        "epoch",
                        snapshot.epoch(),
                        "parts",
                        snapshot.parts().size());
                state.failed = false;
                applyContents(holder, state, snapshot.epoch(), snapshot.nextCursor(), true, snapshot.parts());
            }
            case CacheEventsReply.Changes changes -> handleChanges(holder, state, changes);
            case CacheEventsReply.Failed failed -> handleFailure(holder, state, failed.reason());
        }
        context.wakeAt(state.nextRequestAtMillis);
    }

    /** Reports an unresponsive cache, so that nothing is fetched from it or saved to it. */
    private void handleFailure(UpstreamId holder, ReadState state, String reason) {
        state.nextRequestAtMillis = context.now() + RETRY_INTERVAL_MILLIS;
        state.epoch = UNKNOWN_EPOCH;
        if (!state.failed) {
            state.failed = true;
            context.log("caches", "Cache unresponsive; treated as empty.", "holder", holder, "reason", reason);
            publish(holder, true, Map.of(), true);
        }
    }

    private void handleChanges(UpstreamId holder, ReadState state, CacheEventsReply.Changes changes) {
        if (changes.gap() || changes.epoch() != state.epoch) {
            context.log(
                    "caches",
                    "Cache restarted or events missed; requesting a snapshot.",
                    "holder",
                    holder,
                    "epoch",
                    changes.epoch(),
                    "gap",
                    changes.gap());
            state.epoch = UNKNOWN_EPOCH;
            report(holder, true, Map.of());
            return;
        }
        applyContents(holder, state, changes.epoch(), changes.nextCursor(), false, changes.changes());
    }

    private void applyContents(
            UpstreamId holder,
            ReadState state,
            long epoch,
            long nextCursor,
            boolean isSnapshot,
            List<CacheEventsReply.Change> changes) {
        state.epoch = epoch;
        state.cursor = nextCursor;
        boolean relayed = GossipTopology.usesRelays(storeReplica.memberCount());
        state.nextRequestAtMillis = context.now() + (relayed ? RELAYED_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS);
        Optional<PromptCacheView> view = upstreams.cache(holder);
        Map<Long, Long> tokensByPart = new LinkedHashMap<>();
        for (CacheEventsReply.Change change : changes) {
            long key = PromptChain.key(change.salt(), change.model(), change.partId());
            if (isSnapshot) {
                // Which of the parts in a snapshot are shared is not known, so all of them are treated as shared.
                gossip.sharedParts().add(key);
            }
            if (gossip.sharedParts().contains(key)) {
                tokensByPart.remove(key);
                tokensByPart.put(key, change.tokens());
            }
        }
        if (relayed && !isSnapshot) {
            // What the router that sent the request has told already needs no report.
            view.ifPresent(known ->
                    tokensByPart.entrySet().removeIf(part -> known.storedTokens(part.getKey()) == part.getValue()));
        }
        long keepAliveMillis = relayed ? RELAYED_KEEP_ALIVE_INTERVAL_MILLIS : KEEP_ALIVE_INTERVAL_MILLIS;
        boolean keepAliveDue = context.now() - state.reportedAtMillis >= keepAliveMillis;
        if (isSnapshot || keepAliveDue || !tokensByPart.isEmpty()) {
            state.reportedAtMillis = context.now();
            report(holder, isSnapshot, tokensByPart);
        }
    }

    private void report(UpstreamId holder, boolean isSnapshot, Map<Long, Long> tokensByPart) {
        publish(holder, isSnapshot, tokensByPart, false);
    }

    /** Applies and reports changes, divided into reports that are small enough to be sent one by one. */
    private void publish(UpstreamId holder, boolean isSnapshot, Map<Long, Long> tokensByPart, boolean unresponsive) {
        long[] keys = tokensByPart.keySet().stream().mapToLong(Long::longValue).toArray();
        long[] tokens =
                tokensByPart.values().stream().mapToLong(Long::longValue).toArray();
        int from = 0;
        do {
            int to = Math.min(keys.length, from + BulkUpdates.MAXIMUM_REPORTED_KEYS);
            PeerMessage.CacheChanges changes = new PeerMessage.CacheChanges(
                    holder,
                    isSnapshot && from == 0,
                    Arrays.copyOfRange(keys, from, to),
                    Arrays.copyOfRange(tokens, from, to),
                    readerId,
                    ++lastReportNumber,
                    unresponsive);
            upstreams.cache(holder).ifPresent(view -> view.applyReport(changes, context.now()));
            gossip.recordCacheChanges(changes);
            from = to;
        } while (from < keys.length);
    }
}
