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
 * Tells requests that crash the upstreams that run them.
 *
 * <p>A broken connection alone says little. A crash counts when the upstream then refuses new connections or is listed
 * with a later birth. Routers tell each other what they saw, since such a request comes again at any of them.
 */
final class CrashTracker {

    /** Lives of upstreams that a request must have ended before it is refused. */
    private static final int QUARANTINE_CRASHES = 3;

    /** How long a broken connection may be put down to a crash that is noticed later, in milliseconds. */
    private static final long SUSPICION_MILLIS = 3_000;

    /** How long crashes are remembered, in milliseconds. */
    private static final long MEMORY_MILLIS = 120_000;

    private final ForwardingContext context;
    private final List<Loss> losses = new ArrayList<>();
    private final Map<Long, Set<String>> crashesByRequest = new HashMap<>();
    private final Map<Long, Long> lastCrashAtMillis = new HashMap<>();
    private final List<PeerMessage.SeenCrash> untold = new ArrayList<>();

    private record Loss(long fingerprint, UpstreamId upstream, long atMillis) {}

    CrashTracker(ForwardingContext context) {
        this.context = context;
    }

    /** Remembers that a request was lost with its connection. */
    void lost(long fingerprint, UpstreamId upstream) {
        losses.add(new Loss(fingerprint, upstream, context.now()));
    }

    /** Takes the news that an upstream refuses connections or has started anew. */
    void unreachable(UpstreamId upstream) {
        for (Loss loss : List.copyOf(losses)) {
            if (loss.upstream().equals(upstream) && context.now() - loss.atMillis() < SUSPICION_MILLIS) {
                PeerMessage.SeenCrash crash = new PeerMessage.SeenCrash(loss.fingerprint(), upstream);
                recordCrash(crash);
                untold.add(crash);
            }
        }
        losses.removeIf(loss -> loss.upstream().equals(upstream));
    }

    /** Takes a crash that was seen here or by a peer; tells whether it was new. */
    boolean recordCrash(PeerMessage.SeenCrash crash) {
        boolean added = crashesByRequest
                .computeIfAbsent(crash.fingerprint(), key -> new HashSet<>())
                .add(crash.upstream().value());
        if (added) {
            lastCrashAtMillis.put(crash.fingerprint(), context.now());
            context.log(
                    "quarantine",
                    "Crash seen.",
                    "fingerprint",
                    Long.toHexString(crash.fingerprint()),
                    "upstream",
                    crash.upstream(),
                    "crashes",
                    crashesByRequest.get(crash.fingerprint()).size());
        }
        return added;
    }

    boolean quarantined(long fingerprint) {
        Set<String> crashes = crashesByRequest.get(fingerprint);
        return crashes != null && crashes.size() >= QUARANTINE_CRASHES;
    }

    /** The crashes that peers have not been told yet. */
    List<PeerMessage.SeenCrash> drainUnsent() {
        List<PeerMessage.SeenCrash> taken = List.copyOf(untold);
        untold.clear();
        return taken;
    }

    boolean hasUnsent() {
        return !untold.isEmpty();
    }

    void run() {
        losses.removeIf(loss -> context.now() - loss.atMillis() >= SUSPICION_MILLIS);
        lastCrashAtMillis.entrySet().removeIf(entry -> {
            boolean old = context.now() - entry.getValue() > MEMORY_MILLIS;
            if (old) {
                crashesByRequest.remove(entry.getKey());
            }
            return old;
        });
    }
}
