package org.fuchsiatrail.wire.peer;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * Merges cache reports for a peer, which ignores a report unless its number exceeds that of the last one of the same
 * reader. Reports keep the order of their numbers; a united report has the number of the later one.
 */
final class CacheReportMerge {

    private final Set<PeerMessage.CacheChanges> reports = new LinkedHashSet<>();
    private final Map<String, Long> lastNumberByReader = new HashMap<>();
    private final Map<UpstreamId, PeerMessage.CacheChanges> lastByHolder = new HashMap<>();

    private CacheReportMerge() {}

    static List<PeerMessage.CacheChanges> merge(
            List<PeerMessage.CacheChanges> older, List<PeerMessage.CacheChanges> newer) {
        CacheReportMerge merge = new CacheReportMerge();
        older.forEach(merge::add);
        newer.forEach(merge::add);
        return List.copyOf(merge.reports);
    }

    private void add(PeerMessage.CacheChanges report) {
        Long lastNumber = lastNumberByReader.get(report.reader());
        if (lastNumber != null && lastNumber >= report.number()) {
            return;
        }
        lastNumberByReader.put(report.reader(), report.number());
        PeerMessage.CacheChanges united = report;
        PeerMessage.CacheChanges last = lastByHolder.get(report.holder());
        if (report.anew()) {
            reports.removeIf(earlier ->
                    earlier.holder().equals(report.holder()) && earlier.reader().equals(report.reader()));
        } else if (last != null && last.reader().equals(report.reader()) && !last.unresponsive()) {
            reports.remove(last);
            united = unite(last, report);
        }
        reports.add(united);
        lastByHolder.put(report.holder(), united);
    }

    private static PeerMessage.CacheChanges unite(PeerMessage.CacheChanges older, PeerMessage.CacheChanges newer) {
        PartTokens parts = new PartTokens();
        parts.putAll(older.keys(), older.tokens());
        parts.putAll(newer.keys(), newer.tokens());
        return new PeerMessage.CacheChanges(
                newer.holder(),
                older.anew(),
                parts.keys(),
                parts.tokens(),
                newer.reader(),
                newer.number(),
                newer.unresponsive());
    }
}
