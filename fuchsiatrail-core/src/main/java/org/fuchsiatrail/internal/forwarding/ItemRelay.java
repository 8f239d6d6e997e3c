package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;

/**
 * Exchanges items of the platform's store with peers: sends them to routers that cannot reach the store, and requests
 * them while this router is behind its peers.
 */
final class ItemRelay {

    /**
     * How long a peer may be ahead before its items are requested, in milliseconds, in addition to the delay between
     * two watches of the store; this router's own watch usually catches up first.
     */
    private static final long LAG_TOLERANCE_MILLIS = 250;

    /** The most bytes of items in one response; the rest of a longer one is requested again. */
    private static final int MAXIMUM_RESPONSE_BYTES = 2 * 1024 * 1024;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final StoreEra era;
    private long behindSinceMillis = Long.MAX_VALUE;

    ItemRelay(ForwardingContext context, StoreReplica replica, StoreEra era) {
        this.context = context;
        this.replica = replica;
        this.era = era;
    }

    /** Returns an update with this router's revision. */
    ForwardingNewsBuilder newUpdate() {
        ForwardingNewsBuilder update =
                PeerMessage.ForwardingNews.builder(context.settings().self(), replica.revision());
        return era.current() == StoreReply.UNKNOWN_ERA ? update : update.storeEra(era.current());
    }

    /** Compares a peer's revision with that of the local replica, and requests items once the peer stays ahead. */
    void compareRevision(EntryVmId from, PeerMessage.ForwardingNews update) {
        if (update.coversUpTo() > replica.revision()) {
            replica.advanceRevision(update.coversUpTo());
            context.log("peers", "Store items received from a peer.", "peer", from, "revision", update.coversUpTo());
        }
        if (update.revision() <= replica.revision()) {
            behindSinceMillis = Long.MAX_VALUE;
            return;
        }
        behindSinceMillis = Math.min(behindSinceMillis, context.now());
        long toleratedLagMillis = LAG_TOLERANCE_MILLIS + StoreWatcher.batchDelayMillis(replica.memberCount());
        if (context.now() - behindSinceMillis < toleratedLagMillis) {
            return;
        }
        behindSinceMillis = context.now();
        context.count("peers.asked-for-items");
        PeerMessage.ForwardingNews request = newUpdate().wantsItems().build();
        context.emit(new ForwardingOutput.SendToPeer(from, update.vm().address(), request));
    }

    /** Sends a peer the items that changed after its revision, or all if that belongs to another era. */
    void sendItems(EntryVmId from, PeerMessage.ForwardingNews request) {
        List<PeerMessage.RelayedItem> items = new ArrayList<>();
        long afterRevision = era.isCurrent(request.storeEra()) ? request.revision() : 0;
        List<StoreItem> changed = new ArrayList<>(replica.changedAfter(afterRevision));
        changed.sort((first, second) -> Long.compare(first.revision(), second.revision()));
        long bytes = 0;
        long coveredRevision = replica.revision();
        for (StoreItem item : changed) {
            bytes += item.value().length;
            if (bytes > MAXIMUM_RESPONSE_BYTES && !items.isEmpty()) {
                coveredRevision = items.getLast().revision();
                break;
            }
            boolean removed = item.content() instanceof StoreItemContent.Removed;
            items.add(new PeerMessage.RelayedItem(item.key(), item.revision(), removed, item.value()));
        }
        PeerMessage.ForwardingNews response =
                newUpdate().items(items, coveredRevision).build();
        context.emit(new ForwardingOutput.SendToPeer(from, request.vm().address(), response));
    }
}
