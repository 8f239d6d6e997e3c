package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * Records which upstreams a request has crashed, and quarantines requests that keep crashing upstreams.
 *
 * <p>Routers share the crashes they detect, since such a request may be retried at any of them.
 */
final class CrashTracker {

    /** The number of upstream incarnations that a request must have crashed before it is refused. */
    private static final int QUARANTINE_CRASHES = 3;

    /** How long crashes are remembered, in milliseconds. */
    private static final long RETENTION_MILLIS = 120_000;

    private final ForwardingContext context;
    private final Map<Long, Set<String>> crashesByRequest = new HashMap<>();
    private final Map<Long, Long> lastCrashAtMillis = new HashMap<>();
    private final List<PeerMessage.SeenCrash> unsent = new ArrayList<>();

    CrashTracker(ForwardingContext context) {
        this.context = context;
    }

    /** Records a crash that this router detected, and sends it to peers if it was not known before. */
    void reportCrash(long fingerprint, UpstreamId incarnation) {
        PeerMessage.SeenCrash crash = new PeerMessage.SeenCrash(fingerprint, incarnation);
        if (recordCrash(crash, "this router")) {
            unsent.add(crash);
        }
    }

    /** Records a crash that a peer detected; returns whether it was not known before. */
    boolean recordCrash(PeerMessage.SeenCrash crash) {
        return recordCrash(crash, "a peer");
    }

    private boolean recordCrash(PeerMessage.SeenCrash crash, String detectedBy) {
        boolean added = crashesByRequest
                .computeIfAbsent(crash.fingerprint(), key -> new HashSet<>())
                .add(crash.upstream().value());
        if (added) {
            lastCrashAtMillis.put(crash.fingerprint(), context.now());
            context.count("crashes.attributed");
            context.log(
                    "quarantine",
                    "Upstream crash attributed to a request.",
                    "fingerprint",
                    Long.toHexString(crash.fingerprint()),
                    "upstream",
                    crash.upstream(),
                    "crashes",
                    knownCrashes(crash.fingerprint()),
                    "detectedBy",
                    detectedBy);
        }
        return added;
    }

    boolean isQuarantined(long fingerprint) {
        return knownCrashes(fingerprint) >= QUARANTINE_CRASHES;
    }

    /** The number of upstream incarnations that this router knows a request to have crashed. */
    int knownCrashes(long fingerprint) {
        return crashesByRequest.getOrDefault(fingerprint, Set.of()).size();
    }

    /** Removes and returns the crashes that have not been sent to peers yet. */
    List<PeerMessage.SeenCrash> drainUnsent() {
        List<PeerMessage.SeenCrash> drained = List.copyOf(unsent);
        unsent.clear();
        return drained;
    }

    boolean hasUnsent() {
        return !unsent.isEmpty();
    }

    void run() {
        lastCrashAtMillis.entrySet().removeIf(entry -> {
            boolean expired = context.now() - entry.getValue() > RETENTION_MILLIS;
            if (expired) {
                crashesByRequest.remove(entry.getKey());
            }
            return expired;
        });
    }
}
