package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.PeerMessage;
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

    /**
     * How long the network side may take to report that an attempt that was given up had never been sent, in
     * milliseconds.
     */
    private static final long SETTLING_MILLIS = 50;

    private final ForwardingContext context;
    private final CrashTracker tracker;
    private final Map<UpstreamId, List<UnansweredAttempt>> unansweredByIncarnation = new HashMap<>();
    private final Map<UpstreamId, Long> endedAtMillis = new HashMap<>();

    /** An attempt without an answer; {@code sent} tells whether its request is known to have been sent. */
    private record UnansweredAttempt(AttemptId attempt, PeerMessage.SeenCrash crash, long atMillis, boolean sent) {}

    CrashDetector(ForwardingContext context, CrashTracker tracker) {
        this.context = context;
        this.tracker = tracker;
    }

    /** Records that an attempt was sent to an incarnation of an upstream and lost without an answer. */
    void recordLost(AttemptId attempt, PeerMessage.SeenCrash possibleCrash) {
        add(new UnansweredAttempt(attempt, possibleCrash, context.now(), true));
    }

    /**
     * Records that an attempt without an answer was given up. {@link #withdraw} withdraws it if its request had
     * not been sent.
     */
    void recordGivenUp(AttemptId attempt, PeerMessage.SeenCrash possibleCrash) {
        add(new UnansweredAttempt(attempt, possibleCrash, context.now(), false));
        context.wakeAt(context.now() + SETTLING_MILLIS);
    }

    private void add(UnansweredAttempt attempt) {
        UpstreamId incarnation = attempt.crash().upstream();
        withdraw(attempt.attempt());
        unansweredByIncarnation
                .computeIfAbsent(incarnation, key -> new ArrayList<>())
                .add(attempt);
        attributeIfEnded(incarnation);
    }

    /** Withdraws an attempt that was given up, since its request was not sent or its upstream has answered. */
    void withdraw(AttemptId attempt) {
        unansweredByIncarnation
                .values()
                .forEach(attempts ->
                        attempts.removeIf(unanswered -> unanswered.attempt().equals(attempt)));
    }

    private void attributeIfEnded(UpstreamId incarnation) {
        List<UnansweredAttempt> unanswered = unansweredByIncarnation.get(incarnation);
        if (unanswered == null || !endedAtMillis.containsKey(incarnation)) {
            return;
        }
        unanswered.removeIf(attempt -> {
            boolean settled = attempt.sent() || context.now() - attempt.atMillis() >= SETTLING_MILLIS;
            if (settled) {
                tracker.reportCrash(attempt.crash());
            }
            return settled;
        });
    }

    /** Records that an incarnation of an upstream has ended: its unanswered attempts count as crashes. */
    void recordEnded(UpstreamId incarnation) {
        endedAtMillis.putIfAbsent(incarnation, context.now());
        attributeIfEnded(incarnation);
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

    /** Attributes attempts that have settled, and discards those whose upstream was not seen to end. */
    void run() {
        endedAtMillis.keySet().forEach(this::attributeIfEnded);
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
                    Long.toHexString(attempt.crash().fingerprint()),
                    "upstream",
                    incarnation);
        }
        return expired;
    }
}
