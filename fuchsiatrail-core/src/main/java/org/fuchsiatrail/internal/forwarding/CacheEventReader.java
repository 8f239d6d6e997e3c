package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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
 * Follows the caches of engines and of stores of kept KV cache, and tells the other routers of the failure domain.
 *
 * <p>Load pattern: hundreds of changes a second on each engine, most of parts that nobody shares. One router of a
 * failure domain reads each cache, so the cost to a router falls with the number of routers and the cost to an engine
 * does not grow with it; it tells only changes of parts that requests are known to share.
 */
final class CacheEventReader {

    /** How long a question waits for a change, in milliseconds; the longest that engines allow. */
    private static final long WAIT_MILLIS = 1_000;

    /** Pause between questions to one cache, in milliseconds; engines tell changes about 80 ms late themselves. */
    private static final long PAUSE_MILLIS = 150;

    /** Pause after a failed question, in milliseconds. */
    private static final long FAILED_MILLIS = 1_000;

    /** How long after its start a router counts on peers that it has not heard yet, in milliseconds. */
    private static final long START_MILLIS = 2_000;

    /** The epoch of a cache that was not heard or whose changes were missed; it is asked for all it holds. */
    private static final long UNKNOWN = Long.MIN_VALUE;

    /** Pause between decisions who reads what, in milliseconds; a reader that fell silent is replaced after it. */
    private static final long ASSIGNMENT_MILLIS = 500;

    /** The same while a router starts and learns which caches there are, in milliseconds. */
    private static final long START_ASSIGNMENT_MILLIS = 50;

    /** How often a cache without news is said to be heard, in milliseconds; others trust its last word for 4 s. */
    private static final long QUIET_WORD_MILLIS = 1_000;

    private final ForwardingContext context;
    private final StoreReplica known;
    private final UpstreamTable upstreams;
    private final PeerGossip peers;
    private final Map<UpstreamId, Position> positions = new HashMap<>();
    private final String reader;
    private long told;
    private long nextAssignmentAtMillis;

    /** Where the reading of one cache stands. */
    private static final class Position {
        final String address;
        boolean asked;
        boolean failed;
        long toldAtMillis;
        long askAtMillis;
        long after;
        long epoch = UNKNOWN;

        Position(String address) {
            this.address = address;
        }
    }

    CacheEventReader(ForwardingContext context, StoreReplica known, UpstreamTable upstreams, PeerGossip peers) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.peers = peers;
        this.reader = context.settings().self().id() + "/"
                + Long.toHexString(context.random().nextLong());
    }

    void run() {
        if (context.stopping()) {
            return;
        }
        if (context.now() >= nextAssignmentAtMillis) {
            assign();
        }
        positions.forEach(this::ask);
    }

    /** Decides which caches this router reads. */
    private void assign() {
        boolean starting = context.ageMillis() < START_MILLIS;
        nextAssignmentAtMillis = context.now() + (starting ? START_ASSIGNMENT_MILLIS : ASSIGNMENT_MILLIS);
        context.wakeAt(nextAssignmentAtMillis);
        List<EntryVm> readers = readers();
        Map<UpstreamId, String> addresses = new LinkedHashMap<>();
        for (UpstreamState engine : upstreams.all()) {
            if (!engine.weightVersions.isEmpty() && !engine.awaitsProbe) {
                addresses.put(engine.id(), engine.entry.address());
            }
        }
        for (ServiceDefinition store :
                known.routing().map(RoutingTable::kvCacheStores).orElse(List.of())) {
            UpstreamId id = new UpstreamId(store.name());
            upstreams.kvCacheStore(id);
            addresses.put(id, store.kvCacheStore().orElseThrow().address());
        }
        addresses.keySet().removeIf(holder -> !reads(readers, holder));
        positions.entrySet().removeIf(entry -> !entry.getValue().address.equals(addresses.get(entry.getKey())));
        addresses.forEach((holder, address) -> positions.computeIfAbsent(holder, id -> new Position(address)));
    }

    private List<EntryVm> readers() {
        EntryVm self = context.settings().self();
        List<EntryVm> readers = new ArrayList<>();
        readers.add(self);
        for (StoreItemContent.Member member : known.members()) {
            EntryVm vm = member.vm();
            boolean near = vm.failureDomain().equals(self.failureDomain());
            if (near
                    && !vm.id().equals(self.id())
                    && (context.ageMillis() < START_MILLIS || peers.expectsUpdatesFrom(vm.id()))) {
                readers.add(vm);
            }
        }
        return readers;
    }

    private boolean reads(List<EntryVm> readers, UpstreamId holder) {
        EntryVm reader =
                Rendezvous.first(holder.value(), readers, vm -> vm.id().value()).orElseThrow();
        return reader.id().equals(context.settings().self().id());
    }

    private void ask(UpstreamId holder, Position position) {
        if (position.asked) {
            return;
        }
        if (context.now() < position.askAtMillis) {
            return;
        }
        position.asked = true;
        context.emit(
                position.epoch == UNKNOWN
                        ? new ForwardingOutput.ReadCacheSnapshot(holder, position.address)
                        : new ForwardingOutput.ReadCacheEvents(holder, position.address, position.after, WAIT_MILLIS));
    }

    /** Takes an answer of a cache. */
    void receive(UpstreamId holder, CacheEventsReply reply) {
        Position position = positions.get(holder);
        if (position == null) {
            return;
        }
        position.asked = false;
        switch (reply) {
            case CacheEventsReply.Snapshot whole -> {
                context.log(
                        "caches",
                        "Cache read.",
                        "holder",
                        holder,
                        "epoch",
                        whole.epoch(),
                        "parts",
                        whole.parts().size());
                position.failed = false;
                take(holder, position, whole.epoch(), whole.nextCursor(), true, whole.parts());
            }
            case CacheEventsReply.Changes changes -> takeChanges(holder, position, changes);
            case CacheEventsReply.Failed failed -> fail(holder, position, failed.reason());
        }
        context.wakeAt(position.askAtMillis);
    }

    /** Nothing is fetched from a cache that cannot be heard. */
    private void fail(UpstreamId holder, Position position, String reason) {
        position.askAtMillis = context.now() + FAILED_MILLIS;
        position.epoch = UNKNOWN;
        if (!position.failed) {
            position.failed = true;
            context.log("caches", "Cache not heard.", "holder", holder, "reason", reason);
            tell(holder, true, Map.of());
        }
    }

    private void takeChanges(UpstreamId holder, Position position, CacheEventsReply.Changes changes) {
        if (changes.gap() || changes.epoch() != position.epoch) {
            context.log("caches", "Cache lost.", "holder", holder, "epoch", changes.epoch(), "gap", changes.gap());
            position.epoch = UNKNOWN;
            tell(holder, true, Map.of());
            return;
        }
        take(holder, position, changes.epoch(), changes.nextCursor(), false, changes.changes());
    }

    private void take(
            UpstreamId holder,
            Position position,
            long epoch,
            long next,
            boolean anew,
            List<CacheEventsReply.Change> changes) {
        position.epoch = epoch;
        position.after = next;
        position.askAtMillis = context.now() + PAUSE_MILLIS;
        Map<Long, Long> tokens = new LinkedHashMap<>();
        for (CacheEventsReply.Change change : changes) {
            long key = PromptChain.key(change.salt(), change.model(), change.partId());
            if (anew) {
                // Of the parts held before, it is not known which are shared.
                peers.sharedParts().add(key);
            }
            if (peers.sharedParts().contains(key)) {
                tokens.remove(key);
                tokens.put(key, change.tokens());
            }
        }
        boolean wordDue = context.now() - position.toldAtMillis >= QUIET_WORD_MILLIS;
        if (anew || wordDue || !tokens.isEmpty()) {
            position.toldAtMillis = context.now();
            tell(holder, anew, tokens);
        }
    }

    private void tell(UpstreamId holder, boolean anew, Map<Long, Long> tokens) {
        PeerMessage.CacheChanges changes = new PeerMessage.CacheChanges(
                holder,
                anew,
                tokens.keySet().stream().mapToLong(Long::longValue).toArray(),
                tokens.values().stream().mapToLong(Long::longValue).toArray(),
                reader,
                ++told);
        upstreams.cache(holder).ifPresent(view -> view.applyReport(changes, context.now()));
        peers.recordCacheChanges(changes);
    }
}
