package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;

/** Gives items of the store to routers that the store turns away, and asks peers for them when it is such a router. */
final class ItemRelay {

    /**
     * How long a peer may be ahead before it is asked, in milliseconds, beyond the pause between two watches; the own
     * watch usually catches up first.
     */
    private static final long BEHIND_MILLIS = 250;

    /** The most bytes of items in one answer; a longer one is cut and asked for again. */
    private static final int MOST_ITEM_BYTES = 2 * 1024 * 1024;

    private final ForwardingContext context;
    private final StoreReplica known;
    private long behindSinceMillis = Long.MAX_VALUE;

    ItemRelay(ForwardingContext context, StoreReplica known) {
        this.context = context;
        this.known = known;
    }

    /** Compares a peer's revision with the own one, and asks the peer once it stays ahead. */
    void compare(EntryVmId from, PeerMessage.ForwardingNews news) {
        if (news.coversUpTo() > known.revision()) {
            known.coveredUpTo(news.coversUpTo());
            context.log("peers", "Items taken from a peer.", "peer", from, "revision", news.coversUpTo());
        }
        if (news.revision() <= known.revision()) {
            behindSinceMillis = Long.MAX_VALUE;
            return;
        }
        behindSinceMillis = Math.min(behindSinceMillis, context.now());
        long allowed = BEHIND_MILLIS + StoreWatcher.gatherMillis(known.memberCount());
        if (context.now() - behindSinceMillis < allowed) {
            return;
        }
        behindSinceMillis = context.now();
        context.count("peers.asked-for-items");
        PeerMessage.ForwardingNews question = PeerMessage.ForwardingNews.builder(
                        context.settings().self(), known.revision())
                .wantsItems()
                .build();
        context.emit(new ForwardingOutput.SendToPeer(from, news.vm().address(), question));
    }

    /** Answers a peer with the items that changed after its revision. */
    void answer(EntryVmId from, PeerMessage.ForwardingNews question) {
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
            boolean removed = item.content() instanceof StoreItemContent.Removed;
            items.add(new PeerMessage.RelayedItem(item.key(), item.revision(), removed, item.value()));
        }
        PeerMessage.ForwardingNews reply = PeerMessage.ForwardingNews.builder(
                        context.settings().self(), known.revision())
                .items(items, covered)
                .build();
        context.emit(new ForwardingOutput.SendToPeer(from, question.vm().address(), reply));
    }
}
