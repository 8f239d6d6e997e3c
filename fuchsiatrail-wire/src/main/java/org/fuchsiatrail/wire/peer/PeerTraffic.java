package org.fuchsiatrail.wire.peer;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiatrail.Clock;
import org.fuchsiatrail.wire.observe.LogLines;

/** Counts what is sent to peers, and logs when it has waited long. */
final class PeerTraffic {

    /** The wait that is logged, in milliseconds. */
    static final long LONG_WAIT_MILLIS = 500;

    /** The shortest time between two log lines, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 5_000;

    private final Clock clock;
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong droppedParts = new AtomicLong();
    private final AtomicLong merged = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong longestWaitMillis = new AtomicLong();
    private final AtomicLong silent = new AtomicLong();
    private final AtomicLong nextLogAtMillis = new AtomicLong(Long.MIN_VALUE);

    PeerTraffic(Clock clock) {
        this.clock = clock;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    void recordRefused() {
        refused.incrementAndGet();
    }

    void recordDropped(long messages) {
        dropped.addAndGet(messages);
    }

    /** Records that an update was merged with one that waited, and how much was dropped from both. */
    void recordMerged(int partsDropped) {
        merged.incrementAndGet();
        droppedParts.addAndGet(partsDropped);
    }

    void recordSent(long bytes) {
        sentBytes.addAndGet(bytes);
    }

    /**
     * Records how long bytes have waited for a peer.
     *
     * @param peer the peer
     * @param connected whether there is a connection to it
     * @param bytes the bytes that wait for it, or have waited until now
     * @param millis how long the first of them have waited, in milliseconds
     */
    void recordWait(String peer, boolean connected, long bytes, long millis) {
        longestWaitMillis.accumulateAndGet(millis, Math::max);
        if (millis <= LONG_WAIT_MILLIS) {
            return;
        }
        long nowMillis = clock.nowMillis();
        long dueAtMillis = nextLogAtMillis.get();
        if (nowMillis >= dueAtMillis && nextLogAtMillis.compareAndSet(dueAtMillis, nowMillis + LOG_INTERVAL_MILLIS)) {
            LogLines.info(
                    "peers",
                    "Bytes have waited for a peer.",
                    Map.of("peer", peer, "connected", connected, "bytes", bytes, "millis", millis));
        }
    }

    /** Records that a connection was given up because the peer acknowledged nothing any more. */
    void recordSilent(String peer, int updates, int checks) {
        silent.incrementAndGet();
        LogLines.info(
                "peers",
                "Connection to a peer went silent.",
                Map.of("peer", peer, "unacknowledgedUpdates", updates, "checks", checks));
    }

    long silent() {
        return silent.get();
    }

    long refused() {
        return refused.get();
    }

    long dropped() {
        return dropped.get();
    }

    long droppedParts() {
        return droppedParts.get();
    }

    long merged() {
        return merged.get();
    }

    long sentBytes() {
        return sentBytes.get();
    }

    long longestWaitMillis() {
        return longestWaitMillis.get();
    }
}
