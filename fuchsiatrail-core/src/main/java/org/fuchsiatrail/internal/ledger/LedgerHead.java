package org.fuchsiatrail.internal.ledger;

import java.util.List;

/**
 * The record of a ledger shard that changes: what is open or ended lately, and references to what is sealed.
 *
 * @param entries open and lately ended calls
 * @param segments sealed segments, oldest first
 */
public record LedgerHead(List<LedgerEntry> entries, List<Segment> segments) {

    static LedgerHead empty() {
        return new LedgerHead(List.of(), List.of());
    }

    /**
     * A reference to a sealed segment.
     *
     * @param storeKey its key in the platform's store, which names its content
     * @param newestMillis when its newest call ended
     */
    public record Segment(String storeKey, long newestMillis) {}

    /**
     * A sealed segment: ended calls that never change.
     *
     * @param entries the calls
     */
    public record Content(List<LedgerEntry> entries) {}
}
