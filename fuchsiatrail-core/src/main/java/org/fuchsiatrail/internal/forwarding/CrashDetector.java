package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.UpstreamId;

/**
 * Detects which requests were running on an upstream when it crashed.
 *
 * <p>An attempt without an answer is no proof of a crash, and neither is the end of an upstream. Together they are, in
 * whichever order they are noticed: a connection may break seconds before the store drops the upstream's entry, and a
 * silent one may be given up long after. A later answer of the same incarnation shows that it survived the request.
 */
final class CrashDetector {

    /**
     * How long an unanswered attempt is kept until its upstream is seen to end, in milliseconds. The store drops an
     * entry after three missed heartbeats, and later when it has an outage.
     */
    private static final long ATTEMPT_RETENTION_MILLIS = 15_000;

    /** How long the end of an incarnation is kept, in milliseconds; streams may wait 15 s for an answer. */
    private static final long END_RETENTION_MILLIS = 30_000;

    /** How long after a connection broke answers that were on their way may still arrive, in milliseconds. */
    private static final long IN_TRANSIT_MILLIS = 200;

    private final ForwardingContext context;
    private final CrashTracker tracker;
    private final Map<UpstreamId, List<UnansweredAttempt>> unansweredByIncarnation = new HashMap<>();
    private final Map<UpstreamId, Long> endedAtMillis = new HashMap<>();

    private record UnansweredAttempt(long fingerprint, long atMillis) {}

    CrashDetector(ForwardingContext context, CrashTracker tracker) {
        this.context = context;
        this.tracker = tracker;
    }

    /** Records that an attempt may have been executed by an incarnation of an upstream and has no answer. */
    void recordUnanswered(long fingerprint, UpstreamId incarnation) {
        if (endedAtMillis.containsKey(incarnation)) {
            tracker.reportCrash(fingerprint, incarnation);
            return;
        }
        unansweredByIncarnation
                .computeIfAbsent(incarnation, key -> new ArrayList<>())
                .add(new UnansweredAttempt(fingerprint, context.now()));
    }

    /** Records that an incarnation of an upstream has ended: its unanswered attempts count as crashes. */
    void recordEnded(UpstreamId incarnation) {
        endedAtMillis.putIfAbsent(incarnation, context.now());
        List<UnansweredAttempt> unanswered = unansweredByIncarnation.remove(incarnation);
        if (unanswered != null) {
            unanswered.forEach(attempt -> tracker.reportCrash(attempt.fingerprint(), incarnation));
        }
    }

    /** Records that an incarnation answered an attempt, so it has survived those that ended before. */
    void recordAnswer(UpstreamId incarnation) {
        if (unansweredByIncarnation.isEmpty() && endedAtMillis.isEmpty()) {
            return;
        }
        long survivedUntilMillis = context.now() - IN_TRANSIT_MILLIS;
        List<UnansweredAttempt> unanswered = unansweredByIncarnation.get(incarnation);
        if (unanswered != null) {
            unanswered.removeIf(attempt -> attempt.atMillis() < survivedUntilMillis);
        }
        if (endedAtMillis.getOrDefault(incarnation, Long.MAX_VALUE) < survivedUntilMillis) {
            endedAtMillis.remove(incarnation);
        }
    }

    /** Discards attempts whose upstream was not seen to end. */
    void run() {
        Iterator<Map.Entry<UpstreamId, List<UnansweredAttempt>>> entries =
                unansweredByIncarnation.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<UpstreamId, List<UnansweredAttempt>> entry = entries.next();
            entry.getValue().removeIf(attempt -> expire(attempt, entry.getKey()));
            if (entry.getValue().isEmpty()) {
                entries.remove();
            }
        }
        endedAtMillis.values().removeIf(atMillis -> context.now() - atMillis >= END_RETENTION_MILLIS);
    }

    private boolean expire(UnansweredAttempt attempt, UpstreamId incarnation) {
        boolean expired = context.now() - attempt.atMillis() >= ATTEMPT_RETENTION_MILLIS;
        if (expired) {
            context.count("crashes.unattributed");
            context.log(
                    "quarantine",
                    "Unanswered attempt not attributed to a crash; its upstream was not seen to end.",
                    "fingerprint",
                    Long.toHexString(attempt.fingerprint()),
                    "upstream",
                    incarnation);
        }
        return expired;
    }
}
