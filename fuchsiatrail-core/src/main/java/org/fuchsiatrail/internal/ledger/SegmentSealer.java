package org.fuchsiatrail.internal.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Digests;
import org.fuchsiatrail.internal.store.Documents;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Moves ended calls out of a shard's head into segments that never change, and drops segments past their retention.
 *
 * <p>A segment is written first, under a name made from its content; only a later write of the head takes its entries
 * out and names it. A crash between the two leaves the entries in the head.
 */
final class SegmentSealer {

    private final RouterContext context;
    private final StoreCalls store;
    private final SegmentIndex index;
    private final String prefix;
    private final List<LedgerHead.Segment> dropped = new ArrayList<>();
    private boolean writing;
    private LedgerHead.Segment sealed;
    private List<LedgerEntry> sealedEntries = List.of();

    SegmentSealer(RouterContext context, StoreCalls store, SegmentIndex index, String prefix) {
        this.context = context;
        this.store = store;
        this.index = index;
        this.prefix = prefix;
    }

    /** Tells whether a written segment waits to be named by the head. */
    boolean hasSealed() {
        return sealed != null;
    }

    /** Takes sealed entries out of a head in the making, names their segment, and drops old segments. */
    void apply(Map<String, LedgerEntry> entries, List<LedgerHead.Segment> segments) {
        long oldest = context.now() - context.settings().ledgerRetentionMillis();
        dropped.clear();
        for (LedgerHead.Segment segment : segments) {
            if (segment.newestMillis() < oldest) {
                dropped.add(segment);
            }
        }
        segments.removeAll(dropped);
        if (sealed == null) {
            return;
        }
        for (LedgerEntry entry : sealedEntries) {
            LedgerEntry present = entries.get(entry.key());
            boolean same =
                    present != null && present.claimId().equals(entry.claimId()) && present.state() == entry.state();
            if (same) {
                entries.remove(entry.key());
            }
        }
        if (!segments.contains(sealed)) {
            segments.add(sealed);
        }
    }

    /** Takes note that a head was written; deletes segments it no longer names. */
    void written(LedgerHead written) {
        for (LedgerHead.Segment segment : dropped) {
            store.call(new StoreRequest.Delete(segment.storeKey()), result -> {});
        }
        dropped.clear();
        if (sealed != null && written.segments().contains(sealed)) {
            index.remember(sealed.storeKey(), sealedEntries);
            sealed = null;
            sealedEntries = List.of();
        }
    }

    /** Writes a segment when the ended calls in the head have grown large. */
    void sealIfLarge(LedgerHead head) {
        if (writing || sealed != null) {
            return;
        }
        List<LedgerEntry> ended = new ArrayList<>();
        int size = 0;
        for (LedgerEntry entry : head.entries()) {
            if (entry.state() != LedgerEntry.State.CLAIMED) {
                ended.add(entry);
                size += entry.size();
            }
        }
        if (size >= context.settings().ledgerSegmentBytes()) {
            writeSegment(ended);
        }
    }

    private void writeSegment(List<LedgerEntry> ended) {
        byte[] value = Documents.write(new LedgerHead.Content(ended));
        String key = prefix + Digests.sha256(value).substring(0, 32);
        long newest = ended.stream().mapToLong(LedgerEntry::endedAtMillis).max().orElse(context.now());
        writing = true;
        store.call(new StoreRequest.CompareAndSwap(key, 0, value), result -> {
            writing = false;
            boolean present = result instanceof StoreResult.Swapped || result instanceof StoreResult.Conflict;
            if (present) {
                sealed = new LedgerHead.Segment(key, newest);
                sealedEntries = ended;
                context.count("ledger.segments");
            }
        });
    }
}
