package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;

/**
 * Prefilled prompt parts and cache reports that wait to be sent in one direction. They improve placement but nothing
 * relies on them, so their size in an update is limited, and the oldest are dropped when too many wait.
 */
final class BulkUpdates {

    /** The most keys in a cache report, so that it fits into an update of a router with many recipients. */
    static final int MAXIMUM_REPORTED_KEYS = 24;

    /** The most prompt parts that wait. */
    private static final int MAXIMUM_WAITING_PARTS = 600;

    private static final int BYTES_PER_PART = 12;
    private static final int BYTES_PER_PREFILL = 20;
    private static final int BYTES_PER_REPORT = 40;

    private final List<PeerMessage.ReadParts> prefills = new ArrayList<>();
    private final List<PeerMessage.CacheChanges> reports = new ArrayList<>();

    void add(PeerMessage.ReadParts prefill) {
        prefills.add(prefill);
    }

    /**
     * Adds a cache report. Reports of a reader have to be added, and are sent, in the order of their numbers, because
     * recipients ignore one with a lower number than the last.
     */
    void add(PeerMessage.CacheChanges report) {
        if (report.anew()) {
            reports.removeIf(waiting -> isOfSameCache(waiting, report));
        }
        PeerMessage.CacheChanges latest = null;
        for (PeerMessage.CacheChanges waiting : reports) {
            latest = isOfSameCache(waiting, report) ? waiting : latest;
        }
        if (latest != null
                && !latest.unresponsive()
                && latest.keys().length + report.keys().length <= MAXIMUM_REPORTED_KEYS) {
            reports.remove(latest);
            reports.add(merge(latest, report));
        } else {
            reports.add(report);
        }
    }

    private static boolean isOfSameCache(PeerMessage.CacheChanges first, PeerMessage.CacheChanges second) {
        return first.holder().equals(second.holder()) && first.reader().equals(second.reader());
    }

    private static PeerMessage.CacheChanges merge(PeerMessage.CacheChanges older, PeerMessage.CacheChanges newer) {
        return new PeerMessage.CacheChanges(
                newer.holder(),
                older.anew(),
                LongStream.concat(LongStream.of(older.keys()), LongStream.of(newer.keys()))
                        .toArray(),
                LongStream.concat(LongStream.of(older.tokens()), LongStream.of(newer.tokens()))
                        .toArray(),
                newer.reader(),
                newer.number(),
                newer.unresponsive());
    }

    /** Adds all that waits to an update. */
    void writeAll(ForwardingNewsBuilder update, boolean withReports) {
        update.reads(List.copyOf(prefills));
        if (withReports) {
            update.caches(List.copyOf(reports));
        }
    }

    /**
     * Moves the oldest reports and then the newest prefills to an update, up to a size in bytes but at least one
     * element. A prefill that has waited long may have been evicted since.
     */
    void moveTo(ForwardingNewsBuilder update, int bytes) {
        int bytesLeft = bytes;
        int movedReports = 0;
        int movedPrefills = 0;
        boolean fits = true;
        while (fits && movedReports < reports.size()) {
            bytesLeft -= BYTES_PER_REPORT
                    + BYTES_PER_PART * reports.get(movedReports).keys().length;
            fits = bytesLeft >= 0 || movedReports == 0;
            movedReports += fits ? 1 : 0;
        }
        while (fits && movedPrefills < prefills.size()) {
            PeerMessage.ReadParts newest = prefills.get(prefills.size() - 1 - movedPrefills);
            bytesLeft -= BYTES_PER_PREFILL + BYTES_PER_PART * newest.keys().length;
            fits = bytesLeft >= 0 || movedReports + movedPrefills == 0;
            movedPrefills += fits ? 1 : 0;
        }
        update.caches(take(reports.subList(0, movedReports)))
                .reads(take(prefills.subList(prefills.size() - movedPrefills, prefills.size())));
    }

    private static <T> List<T> take(List<T> waiting) {
        List<T> taken = List.copyOf(waiting);
        waiting.clear();
        return taken;
    }

    /** Drops what has waited longest while too much waits, and returns the number of elements dropped. */
    int dropExcess() {
        int parts = 0;
        for (PeerMessage.ReadParts prefill : prefills) {
            parts += prefill.keys().length;
        }
        for (PeerMessage.CacheChanges report : reports) {
            parts += report.keys().length;
        }
        int dropped = 0;
        while (parts > MAXIMUM_WAITING_PARTS) {
            parts -= prefills.isEmpty()
                    ? reports.removeFirst().keys().length
                    : prefills.removeFirst().keys().length;
            dropped++;
        }
        return dropped;
    }

    /** Drops cache reports, which are of no use in another failure domain. */
    void discardReports() {
        reports.clear();
    }

    void clear() {
        prefills.clear();
        reports.clear();
    }
}
