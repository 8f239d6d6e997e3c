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
 * Moves ended calls from a shard head into immutable segments, and deletes segments past their retention.
 *
 * <p>A segment is written first, under a key derived from its content. Only a later write of the head references the
 * segment and removes its entries from the head, so a crash between the two writes leaves the entries in the head.
 */
final class SegmentSealer {

    private final RouterContext context;
    private final StoreCalls store;
    private final SegmentIndex index;
    private final String storeKeyPrefix;
    private final List<LedgerHead.Segment> expiredSegments = new ArrayList<>();
    private boolean writing;

    /** The segment that is written but not yet referenced by the head, or null. */
    private LedgerHead.Segment sealed;

    private List<LedgerEntry> sealedEntries = List.of();

    SegmentSealer(RouterContext context, StoreCalls store, SegmentIndex index, String storeKeyPrefix) {
        this.context = context;
        this.store = store;
        this.index = index;
        this.storeKeyPrefix = storeKeyPrefix;
    }

    /** Returns whether a segment is written that the head does not reference yet. */
    boolean hasUnreferencedSegment() {
        return sealed != null;
    }

    /** Updates the content of the next head: replaces sealed entries by their segment and removes expired segments. */
    void apply(Map<String, LedgerEntry> entries, List<LedgerHead.Segment> segments) {
        long oldest = context.now() - context.settings().ledgerRetentionMillis();
        expiredSegments.clear();
        for (LedgerHead.Segment segment : segments) {
            if (segment.newestMillis() < oldest) {
                expiredSegments.add(segment);
            }
        }
        segments.removeAll(expiredSegments);
        if (sealed == null) {
            return;
        }
        for (LedgerEntry entry : sealedEntries) {
            LedgerEntry current = entries.get(entry.key());
            boolean unchanged =
                    current != null && current.claimId().equals(entry.claimId()) && current.state() == entry.state();
            if (unchanged) {
                entries.remove(entry.key());
            }
        }
        if (!segments.contains(sealed)) {
            segments.add(sealed);
        }
    }

    /** Handles a successful write of the head: deletes the segments that it no longer references. */
    void headWritten(LedgerHead newHead) {
        for (LedgerHead.Segment segment : expiredSegments) {
            store.call(new StoreRequest.Delete(segment.storeKey()), result -> {});
        }
        expiredSegments.clear();
        if (sealed != null && newHead.segments().contains(sealed)) {
            index.addSegment(sealed.storeKey(), sealedEntries);
            sealed = null;
            sealedEntries = List.of();
        }
    }

    /** Writes a segment when the ended calls in the head reach the configured size. */
    void sealIfLarge(LedgerHead head) {
        if (writing || sealed != null) {
            return;
        }
        List<LedgerEntry> ended = new ArrayList<>();
        int bytes = 0;
        for (LedgerEntry entry : head.entries()) {
            if (entry.state() != LedgerEntry.State.CLAIMED) {
                ended.add(entry);
                bytes += entry.approximateBytes();
            }
        }
        if (bytes >= context.settings().ledgerSegmentBytes()) {
            writeSegment(ended);
        }
    }

    private void writeSegment(List<LedgerEntry> ended) {
        byte[] value = Documents.write(new LedgerHead.Content(ended));
        String key = storeKeyPrefix + Digests.sha256(value).substring(0, 32);
        long lastEndMillis =
                ended.stream().mapToLong(LedgerEntry::endedAtMillis).max().orElse(context.now());
        writing = true;
        store.call(new StoreRequest.CompareAndSwap(key, 0, value), result -> {
            writing = false;
            boolean stored = result instanceof StoreResult.Swapped || result instanceof StoreResult.Conflict;
            if (stored) {
                sealed = new LedgerHead.Segment(key, lastEndMillis);
                sealedEntries = ended;
                context.count("ledger.segments");
            }
        });
    }
}
