package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreFact;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Follows the caches of engines and of stores of kept KV cache, and tells the other routers of the failure domain.
 *
 * <p>Load pattern: hundreds of changes a second on each engine. One router of a failure domain reads each cache, so the
 * cost to a router falls with the number of routers and the cost to an engine does not grow with it.
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

    /** Pause between looks at who reads what, in milliseconds. */
    private static final long LOOK_MILLIS = 50;

    private final ForwardingContext context;
    private final KnownItems known;
    private final ForwardedUpstreams upstreams;
    private final PeerNews peers;
    private final Map<UpstreamId, Position> positions = new HashMap<>();
    private long nextLookAtMillis;

    /** Where the reading of one cache stands. */
    private static final class Position {
        final String address;
        boolean asked;
        boolean failed;
        long askAtMillis;
        long after;
        long epoch = UNKNOWN;

        Position(String address) {
            this.address = address;
        }
    }

    CacheEventReader(ForwardingContext context, KnownItems known, ForwardedUpstreams upstreams, PeerNews peers) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.peers = peers;
    }

    void run() {
        if (context.now() < nextLookAtMillis || context.stopping()) {
            return;
        }
        nextLookAtMillis = context.now() + LOOK_MILLIS;
        List<EntryVm> readers = readers();
        Set<UpstreamId> holders = new HashSet<>();
        for (ForwardedUpstream engine : upstreams.all()) {
            boolean reachable = !engine.weights.isEmpty() && !engine.awaitsProbe;
            if (reachable && reads(readers, engine.id())) {
                holders.add(engine.id());
                ask(engine.id(), engine.entry.address());
            }
        }
        for (ServiceDefinition store :
                known.routing().map(RoutingTable::keptCaches).orElse(List.of())) {
            UpstreamId id = new UpstreamId(store.name());
            upstreams.keptCache(id);
            if (reads(readers, id)) {
                holders.add(id);
                ask(id, store.keptCache().orElseThrow().address());
            }
        }
        positions.keySet().retainAll(holders);
    }

    private List<EntryVm> readers() {
        EntryVm self = context.settings().self();
        List<EntryVm> readers = new ArrayList<>();
        readers.add(self);
        for (StoreFact.Member member : known.members()) {
            EntryVm vm = member.vm();
            boolean near = vm.failureDomain().equals(self.failureDomain());
            if (near
                    && !vm.id().equals(self.id())
                    && (context.ageMillis() < START_MILLIS || peers.expectsNews(vm.id()))) {
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

    private void ask(UpstreamId holder, String address) {
        Position position = positions.get(holder);
        if (position == null || !position.address.equals(address)) {
            position = new Position(address);
            positions.put(holder, position);
        }
        if (position.asked) {
            return;
        }
        if (context.now() < position.askAtMillis) {
            context.wakeAt(position.askAtMillis);
            return;
        }
        position.asked = true;
        context.emit(
                position.epoch == UNKNOWN
                        ? new ForwardingOutput.ReadCache(holder, address)
                        : new ForwardingOutput.ReadCacheEvents(holder, address, position.after, WAIT_MILLIS));
    }

    /** Takes an answer of a cache. */
    void receive(UpstreamId holder, CacheEventsReply reply) {
        Position position = positions.get(holder);
        if (position == null) {
            return;
        }
        position.asked = false;
        switch (reply) {
            case CacheEventsReply.Whole whole -> {
                context.note(
                        "caches",
                        "Cache read.",
                        "holder",
                        holder,
                        "epoch",
                        whole.epoch(),
                        "parts",
                        whole.held().size());
                position.failed = false;
                take(holder, position, whole.epoch(), whole.next(), true, whole.held());
            }
            case CacheEventsReply.Changes changes -> takeChanges(holder, position, changes);
            case CacheEventsReply.Failed failed -> fail(holder, position, failed.reason());
        }
        nextLookAtMillis = Math.min(nextLookAtMillis, position.askAtMillis);
        context.wakeAt(position.askAtMillis);
    }

    /** Nothing is fetched from a cache that cannot be heard. */
    private void fail(UpstreamId holder, Position position, String reason) {
        position.askAtMillis = context.now() + FAILED_MILLIS;
        position.epoch = UNKNOWN;
        if (!position.failed) {
            position.failed = true;
            context.note("caches", "Cache not heard.", "holder", holder, "reason", reason);
            tell(new PeerMessage.CacheChanges(holder, true, new long[0], new long[0]));
        }
    }

    private void takeChanges(UpstreamId holder, Position position, CacheEventsReply.Changes changes) {
        if (changes.gap() || changes.epoch() != position.epoch) {
            context.note("caches", "Cache lost.", "holder", holder, "epoch", changes.epoch(), "gap", changes.gap());
            position.epoch = UNKNOWN;
            tell(new PeerMessage.CacheChanges(holder, true, new long[0], new long[0]));
            return;
        }
        take(holder, position, changes.epoch(), changes.next(), false, changes.changes());
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
        long[] keys = new long[changes.size()];
        long[] tokens = new long[changes.size()];
        for (int index = 0; index < changes.size(); index++) {
            CacheEventsReply.Change change = changes.get(index);
            keys[index] = PromptChain.key(change.salt(), change.model(), change.part());
            tokens[index] = change.tokens();
        }
        tell(new PeerMessage.CacheChanges(holder, anew, keys, tokens));
    }

    private void tell(PeerMessage.CacheChanges changes) {
        upstreams.cache(changes.holder()).ifPresent(view -> view.take(changes, context.now()));
        peers.cacheChanged(changes);
    }
}
