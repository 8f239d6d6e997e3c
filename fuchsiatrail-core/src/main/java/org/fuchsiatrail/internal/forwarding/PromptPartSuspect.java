package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/** The crashes during which requests with one prompt part were running, and the quarantine of that part. */
final class PromptPartSuspect {

    /** The least number of requests in the crashes of a cause; a single one is quarantined by itself. */
    private static final int MINIMUM_REQUESTS = 2;

    /** The least time between crashes that count against a part that completed before, in milliseconds. */
    private static final long SEPARATION_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final Map<UpstreamId, Crash> crashes = new HashMap<>();
    /** The position of the part in prompts; parts that fewer requests share come later. */
    private int depth;

    private long lastCrashAtMillis;
    private long quarantinedAtMillis = NEVER;

    /**
     * A crash of an upstream incarnation.
     *
     * @param noticedAtMillis when this router first learned of it, in milliseconds
     * @param requests the fingerprints of the requests with the part that were running
     */
    record Crash(long noticedAtMillis, Set<Long> requests) {}

    void recordCrash(PeerMessage.SeenCrash seen, int positionInPrompt, long nowMillis) {
        depth = Math.max(depth, positionInPrompt);
        lastCrashAtMillis = nowMillis;
        crashes.computeIfAbsent(seen.upstream(), key -> new Crash(nowMillis, new HashSet<>()))
                .requests()
                .add(seen.fingerprint());
    }

    /** The crashes by upstream incarnation; callers remove those that have expired or are explained otherwise. */
    Map<UpstreamId, Crash> crashes() {
        return crashes;
    }

    boolean wasQuarantined() {
        return quarantinedAtMillis != NEVER;
    }

    void beginQuarantine(long nowMillis) {
        quarantinedAtMillis = nowMillis;
    }

    /** Ends a quarantine whose reason no longer holds. */
    void endQuarantine() {
        quarantinedAtMillis = NEVER;
    }

    long millisSinceQuarantine(long nowMillis) {
        return nowMillis - quarantinedAtMillis;
    }

    /** Returns how much longer the part is quarantined, in milliseconds, or 0 when it is not. */
    long quarantineMillisLeft(long nowMillis, long retentionMillis) {
        long lastReasonMillis = Math.max(quarantinedAtMillis, lastCrashAtMillis);
        return wasQuarantined() ? Math.max(0, lastReasonMillis + retentionMillis - nowMillis) : 0;
    }

    /**
     * Returns the part as the possible cause of its crashes.
     *
     * @param part the key of the part
     * @param explained the upstream incarnations whose crashes other parts explain
     * @param noticedBeforeMillis only crashes that were noticed before count
     * @param completedAtMillis when a request with the part last completed, or null
     */
    CrashCause asCause(long part, Set<UpstreamId> explained, long noticedBeforeMillis, Long completedAtMillis) {
        List<Crash> counted = new ArrayList<>();
        Set<Long> requests = new HashSet<>();
        crashes.forEach((incarnation, crash) -> {
            if (!explained.contains(incarnation) && crash.noticedAtMillis() <= noticedBeforeMillis) {
                counted.add(crash);
                requests.addAll(crash.requests());
            }
        });
        boolean oneRequestOnly = requests.size() < MINIMUM_REQUESTS && !wasQuarantined();
        int number = completedAtMillis == null ? counted.size() : separateCrashes(counted);
        return new CrashCause(
                part,
                oneRequestOnly ? 0 : number,
                completedAtMillis == null ? OptionalLong.empty() : OptionalLong.of(completedAtMillis),
                depth);
    }

    /** Counts the crashes; those at about the same time count as one, since they probably have another cause. */
    int separateCrashes() {
        return separateCrashes(crashes.values());
    }

    private static int separateCrashes(Collection<Crash> crashes) {
        long[] noticedAtMillis =
                crashes.stream().mapToLong(Crash::noticedAtMillis).sorted().toArray();
        int count = 0;
        long lastCountedMillis = NEVER;
        for (long atMillis : noticedAtMillis) {
            if (lastCountedMillis == NEVER || atMillis - lastCountedMillis >= SEPARATION_MILLIS) {
                count++;
                lastCountedMillis = atMillis;
            }
        }
        return count;
    }
}
