package org.fuchsiatrail.internal.streams;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;

/** The attempts that run on engines, by their id. */
final class AttemptTable {

    private static final int MILLIS_PER_SECOND = 1000;

    private final Map<AttemptId, ChatRow> rows = new LinkedHashMap<>();

    void add(ChatRow row) {
        rows.put(row.attempt, row);
    }

    ChatRow get(AttemptId attempt) {
        return rows.get(attempt);
    }

    void remove(AttemptId attempt) {
        rows.remove(attempt);
    }

    /** Returns the requests that run on an engine. */
    List<String> fingerprintsOn(UpstreamRow engine) {
        List<String> fingerprints = new ArrayList<>();
        for (ChatRow row : rows.values()) {
            if (row.engine == engine && row.state == ChatRow.State.RUNNING) {
                fingerprints.add(row.fingerprint);
            }
        }
        return fingerprints;
    }

    /** Returns the engines on which suspects other than the given request run. */
    Set<UpstreamId> enginesOfOtherSuspects(ChatRow suspect) {
        Set<UpstreamId> engines = new HashSet<>();
        for (ChatRow row : rows.values()) {
            if (row != suspect && row.suspect && row.engine != null) {
                engines.add(row.engine.id());
            }
        }
        return engines;
    }

    /** Returns the attempts that have been silent for longer than the limit and the engine's queue allow. */
    List<ChatRow> silent(long now, long limitMillis) {
        List<ChatRow> silent = new ArrayList<>();
        for (ChatRow row : rows.values()) {
            long queue = row.prefillOver
                    ? 0
                    : row.engine.queuedTokens(now) * MILLIS_PER_SECOND / row.engine.prefillTokensPerSecond();
            if (row.lastHeardMillis + queue + limitMillis < now) {
                silent.add(row);
            }
        }
        return silent;
    }
}
