package org.fuchsiatrail.internal.ledger;

import java.util.List;

/**
 * The head of a ledger shard, its only mutable record: open and recently ended calls, and references to the sealed
 * segments.
 *
 * @param entries open and recently ended calls
 * @param segments sealed segments, oldest first
 */
public record LedgerHead(List<LedgerEntry> entries, List<Segment> segments) {

    static LedgerHead empty() {
        return new LedgerHead(List.of(), List.of());
    }

    /**
     * A reference to a sealed segment.
     *
     * @param storeKey the key of the segment in the platform's store, which contains the digest of its content
     * @param newestMillis the time at which the last call of the segment ended
     */
    public record Segment(String storeKey, long newestMillis) {}

    /**
     * The immutable content of a sealed segment.
     *
     * @param entries the ended calls
     */
    public record Content(List<LedgerEntry> entries) {}
}
