package org.fuchsiatrail.internal.ledger;

import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Documents;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Maps each key to the sealed segment that contains it, and reads the entries of sealed segments.
 *
 * <p>Before a router writes a shard it loads the keys of all segments of that shard, a few segments at a time.
 */
final class SegmentIndex {

    /** The maximum number of segments read concurrently while the index is loaded. */
    private static final int MAXIMUM_CONCURRENT_READS = 8;

    private final RouterContext context;
    private final StoreCalls store;
    private final Map<String, String> segmentByKey = new HashMap<>();
    private final Map<String, List<String>> keysBySegment = new HashMap<>();
    private final Deque<String> readQueue = new ArrayDeque<>();
    private final Set<String> readsInFlight = new HashSet<>();

    SegmentIndex(RouterContext context, StoreCalls store) {
        this.context = context;
        this.store = store;
    }

    /** Starts loading segments that are missing, removes those no longer listed, and returns whether all are loaded. */
    boolean ensureLoaded(List<LedgerHead.Segment> segments) {
        Set<String> listed = new HashSet<>();
        boolean complete = true;
        for (LedgerHead.Segment segment : segments) {
            listed.add(segment.storeKey());
            if (!keysBySegment.containsKey(segment.storeKey())) {
                complete = false;
                if (!readsInFlight.contains(segment.storeKey()) && !readQueue.contains(segment.storeKey())) {
                    readQueue.add(segment.storeKey());
                }
            }
        }
        removeUnreferenced(listed);
        startQueuedReads();
        return complete;
    }

    private void removeUnreferenced(Set<String> listed) {
        keysBySegment.entrySet().removeIf(segment -> {
            boolean unlisted = !listed.contains(segment.getKey());
            if (unlisted) {
                segment.getValue().forEach(key -> segmentByKey.remove(key, segment.getKey()));
            }
            return unlisted;
        });
        readQueue.retainAll(listed);
    }

    private void startQueuedReads() {
        while (readsInFlight.size() < MAXIMUM_CONCURRENT_READS && !readQueue.isEmpty()) {
            String segment = readQueue.poll();
            readsInFlight.add(segment);
            store.call(new StoreRequest.Read(segment), result -> {
                readsInFlight.remove(segment);
                List<LedgerEntry> entries = parseEntries(segment, result);
                if (entries != null) {
                    addSegment(segment, entries);
                }
            });
        }
    }

    private List<LedgerEntry> parseEntries(String segment, StoreResult result) {
        if (!(result instanceof StoreResult.Found found)) {
            return null;
        }
        try {
            return Documents.read(found.value(), LedgerHead.Content.class).entries();
        } catch (UncheckedIOException e) {
            context.log(
                    "ledger",
                    "Sealed segment is damaged; its entries can't be read.",
                    "segment",
                    segment,
                    "reason",
                    e.getMessage());
            return null;
        }
    }

    /** Adds the keys of a segment that this router has sealed or read. */
    void addSegment(String segment, List<LedgerEntry> entries) {
        List<String> keys = entries.stream().map(LedgerEntry::key).toList();
        keysBySegment.put(segment, keys);
        keys.forEach(key -> segmentByKey.put(key, segment));
    }

    /** Returns the segment that contains a key, or null. */
    String segmentOf(String key) {
        return segmentByKey.get(key);
    }

    /** Reads the entry of a key from a segment; the callback receives null when the segment can't be read. */
    void readEntry(String segment, String key, Consumer<LedgerEntry> callback) {
        store.call(new StoreRequest.Read(segment), result -> {
            List<LedgerEntry> entries = parseEntries(segment, result);
            LedgerEntry entry = entries == null
                    ? null
                    : entries.stream()
                            .filter(candidate -> candidate.key().equals(key))
                            .findFirst()
                            .orElse(null);
            callback.accept(entry);
        });
    }
}
