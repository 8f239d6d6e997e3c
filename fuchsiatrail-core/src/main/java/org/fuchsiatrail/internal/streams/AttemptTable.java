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

/** The attempts that run on engines, by attempt id. */
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

    /** Returns the fingerprints of the requests that run on an engine. */
    List<String> fingerprintsOn(UpstreamRow engine) {
        List<String> fingerprints = new ArrayList<>();
        for (ChatRow row : rows.values()) {
            if (row.engine == engine && row.state == ChatRow.State.RUNNING) {
                fingerprints.add(row.fingerprint);
            }
        }
        return fingerprints;
    }

    /** Returns the engines that run suspect requests other than the given one. */
    Set<UpstreamId> enginesOfOtherSuspects(ChatRow suspect) {
        Set<UpstreamId> engines = new HashSet<>();
        for (ChatRow row : rows.values()) {
            if (row != suspect && row.suspect && row.engine != null) {
                engines.add(row.engine.id());
            }
        }
        return engines;
    }

    /**
     * Returns the attempts whose engine has not responded within the timeout; before the prefill is finished, the
     * timeout is extended by the time that the engine needs for its queue.
     */
    List<ChatRow> timedOut(long now, long timeoutMillis) {
        List<ChatRow> expired = new ArrayList<>();
        for (ChatRow row : rows.values()) {
            long queueMillis = row.prefillFinished
                    ? 0
                    : row.engine.queuedTokens(now) * MILLIS_PER_SECOND / row.engine.prefillTokensPerSecond();
            if (row.lastContactMillis + queueMillis + timeoutMillis < now) {
                expired.add(row);
            }
        }
        return expired;
    }
}
