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
 * Detects requests that crash the upstreams that execute them.
 *
 * <p>A broken connection alone is no proof of a crash. A crash is counted when the upstream then refuses new
 * connections or is registered with a different start time. Routers share the crashes they detect, since such a request
 * may be retried at any of them.
 */
final class CrashTracker {

    /** The number of upstream incarnations that a request must have crashed before it is refused. */
    private static final int QUARANTINE_CRASHES = 3;

    /** How long after a broken connection a crash detected at its upstream is attributed to it, in milliseconds. */
    private static final long ATTRIBUTION_WINDOW_MILLIS = 3_000;

    /** How long crashes are remembered, in milliseconds. */
    private static final long RETENTION_MILLIS = 120_000;

    private final ForwardingContext context;
    private final List<LostConnection> lostConnections = new ArrayList<>();
    private final Map<Long, Set<String>> crashesByRequest = new HashMap<>();
    private final Map<Long, Long> lastCrashAtMillis = new HashMap<>();
    private final List<PeerMessage.SeenCrash> unsent = new ArrayList<>();

    private record LostConnection(long fingerprint, UpstreamId upstream, long atMillis) {}

    CrashTracker(ForwardingContext context) {
        this.context = context;
    }

    /** Records that the connection of a request broke after the request was sent. */
    void recordLostConnection(long fingerprint, UpstreamId upstream) {
        lostConnections.add(new LostConnection(fingerprint, upstream, context.now()));
    }

    /** Counts recent broken connections of an upstream as crashes, since it refuses connections or has restarted. */
    void recordUpstreamDown(UpstreamId upstream) {
        for (LostConnection lost : List.copyOf(lostConnections)) {
            if (lost.upstream().equals(upstream) && context.now() - lost.atMillis() < ATTRIBUTION_WINDOW_MILLIS) {
                PeerMessage.SeenCrash crash = new PeerMessage.SeenCrash(lost.fingerprint(), upstream);
                recordCrash(crash, "this router");
                unsent.add(crash);
            }
        }
        lostConnections.removeIf(lost -> lost.upstream().equals(upstream));
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
        lostConnections.removeIf(this::expireUnattributed);
        lastCrashAtMillis.entrySet().removeIf(entry -> {
            boolean expired = context.now() - entry.getValue() > RETENTION_MILLIS;
            if (expired) {
                crashesByRequest.remove(entry.getKey());
            }
            return expired;
        });
    }

    private boolean expireUnattributed(LostConnection lost) {
        boolean expired = context.now() - lost.atMillis() >= ATTRIBUTION_WINDOW_MILLIS;
        if (expired) {
            context.count("crashes.unattributed");
            context.log(
                    "quarantine",
                    "Lost attempt not attributed to a crash; its upstream was not seen to end.",
                    "fingerprint",
                    Long.toHexString(lost.fingerprint()),
                    "upstream",
                    lost.upstream());
        }
        return expired;
    }
}
