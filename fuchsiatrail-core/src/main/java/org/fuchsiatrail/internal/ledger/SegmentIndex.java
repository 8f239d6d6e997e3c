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
 * Knows which sealed segment holds which key, and reads a segment when a key in it is asked for.
 *
 * <p>A router that begins to write a shard loads the keys of all its segments first, a few at a time.
 */
final class SegmentIndex {

    /** Segments that are read at once. */
    private static final int READ_AT_ONCE = 8;

    private final RouterContext context;
    private final StoreCalls store;
    private final Map<String, String> segmentByKey = new HashMap<>();
    private final Map<String, List<String>> keysBySegment = new HashMap<>();
    private final Deque<String> wanted = new ArrayDeque<>();
    private final Set<String> reading = new HashSet<>();

    SegmentIndex(RouterContext context, StoreCalls store) {
        this.context = context;
        this.store = store;
    }

    /** Begins to load what is missing and forgets what the head no longer names. */
    boolean covers(List<LedgerHead.Segment> segments) {
        Set<String> named = new HashSet<>();
        boolean complete = true;
        for (LedgerHead.Segment segment : segments) {
            named.add(segment.storeKey());
            if (!keysBySegment.containsKey(segment.storeKey())) {
                complete = false;
                if (!reading.contains(segment.storeKey()) && !wanted.contains(segment.storeKey())) {
                    wanted.add(segment.storeKey());
                }
            }
        }
        forgetOthers(named);
        readWanted();
        return complete;
    }

    private void forgetOthers(Set<String> named) {
        keysBySegment.entrySet().removeIf(segment -> {
            boolean gone = !named.contains(segment.getKey());
            if (gone) {
                segment.getValue().forEach(key -> segmentByKey.remove(key, segment.getKey()));
            }
            return gone;
        });
        wanted.retainAll(named);
    }

    private void readWanted() {
        while (reading.size() < READ_AT_ONCE && !wanted.isEmpty()) {
            String segment = wanted.poll();
            reading.add(segment);
            store.call(new StoreRequest.Read(segment), result -> {
                reading.remove(segment);
                List<LedgerEntry> entries = entries(segment, result);
                if (entries != null) {
                    remember(segment, entries);
                }
            });
        }
    }

    private List<LedgerEntry> entries(String segment, StoreResult result) {
        if (!(result instanceof StoreResult.Found found)) {
            return null;
        }
        try {
            return Documents.read(found.value(), LedgerHead.Content.class).entries();
        } catch (UncheckedIOException e) {
            context.log("ledger", "Damaged segment.", "segment", segment, "reason", e.getMessage());
            return null;
        }
    }

    /** Remembers the keys of a segment that this router has sealed or read. */
    void remember(String segment, List<LedgerEntry> entries) {
        List<String> keys = entries.stream().map(LedgerEntry::key).toList();
        keysBySegment.put(segment, keys);
        keys.forEach(key -> segmentByKey.put(key, segment));
    }

    /** Returns the segment that holds a key, or null. */
    String segmentOf(String key) {
        return segmentByKey.get(key);
    }

    /** Reads one key's entry from a segment; gives null when the store does not answer. */
    void read(String segment, String key, Consumer<LedgerEntry> receiver) {
        store.call(new StoreRequest.Read(segment), result -> {
            List<LedgerEntry> entries = entries(segment, result);
            LedgerEntry entry = entries == null
                    ? null
                    : entries.stream()
                            .filter(each -> each.key().equals(key))
                            .findFirst()
                            .orElse(null);
            receiver.accept(entry);
        });
    }
}
