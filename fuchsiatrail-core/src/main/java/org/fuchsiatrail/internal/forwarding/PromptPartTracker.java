package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.StoreItemContent;

/**
 * Finds prompt parts that crash upstreams, whichever request contains them, and quarantines these parts.
 *
 * <p>Each crash has several suspects: the shared parts of all requests that were running. The part that explains the
 * most crashes is the cause; these crashes then count against no other part. A part of a completed request is cleared
 * of all crashes so far, since a request with a crashing part never completes.
 */
final class PromptPartTracker implements QuarantineSource {

    /** The number of otherwise unexplained crashes for which a part is quarantined. */
    private static final int QUARANTINE_CRASHES = 3;

    /** The same when several parts explain equally many crashes, or the part may have completed before them. */
    private static final int UNCERTAIN_QUARANTINE_CRASHES = 5;

    /** The least number of requests in these crashes; a single one is quarantined by itself. */
    private static final int MINIMUM_REQUESTS = 2;

    /** How long routers collect the suspects of a crash before it counts, in milliseconds; three peer updates. */
    private static final long SETTLING_MILLIS = 1_000;

    /** The least time between crashes of a part that completed before, in milliseconds. */
    private static final long SEPARATION_MILLIS = 1_000;

    /** How long a quarantine lasts after the last crash, and how long crashes are remembered, in milliseconds. */
    private static final long RETENTION_MILLIS = CrashTracker.RETENTION_MILLIS;

    /** How long after a quarantine one further crash is enough for the next, in milliseconds. */
    private static final long REPEAT_MILLIS = 3_600_000;

    /** How long a completion protects a part from crashes that are noticed later, in milliseconds. */
    private static final long PROTECTION_MILLIS = 3_000;

    /** How long completions are remembered, in milliseconds. */
    private static final long COMPLETION_RETENTION_MILLIS = 30_000;

    /** The least time between two clearances of a part that are sent to peers, in milliseconds. */
    private static final long CLEARANCE_INTERVAL_MILLIS = 1_000;

    /** The interval at which what has expired is forgotten, in milliseconds. */
    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    /** The most parts whose crashes or completions are remembered; the oldest are forgotten first. */
    private static final int MAXIMUM_PARTS = 10_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final ForwardingContext context;
    private final Map<Long, Suspect> suspects = new LinkedHashMap<>();
    private final Map<Long, Long> completedAtMillis = new LinkedHashMap<>();
    private final Map<Long, Long> clearanceSentAtMillis = new LinkedHashMap<>();
    /** The parts and requests that other routers have published as quarantined. */
    private final Map<Long, Published> published = new LinkedHashMap<>();

    private final Set<Long> unsentClearances = new HashSet<>();
    private List<Quarantine> newQuarantines = new ArrayList<>();
    private long nextVerdictAtMillis = Long.MAX_VALUE;
    private long nextExpiryAtMillis;

    private record Published(Set<UpstreamId> crashes, long atMillis) {}

    private static final class Suspect {
        private final Map<UpstreamId, Crash> crashes = new HashMap<>();
        /** The position of the part in the prompt; parts that fewer requests share come later. */
        private int depth;

        private long lastCrashAtMillis;
        private long quarantinedAtMillis = NEVER;

        private boolean wasQuarantined() {
            return quarantinedAtMillis != NEVER;
        }
    }

    private static final class Crash {
        private final long noticedAtMillis;
        private final Set<Long> requests = new HashSet<>();

        private Crash(long noticedAtMillis) {
            this.noticedAtMillis = noticedAtMillis;
        }
    }

    /** A part that may be the cause of crashes which no quarantined part explains. */
    private record Candidate(long part, int crashes, long completedAtMillis, int depth) {

        /** A part that did not complete, explains more crashes or completed longer ago is the more likely cause. */
        int compareTo(Candidate other) {
            if (hasCompleted() != other.hasCompleted()) {
                return hasCompleted() ? -1 : 1;
            }
            return crashes != other.crashes
                    ? Integer.compare(crashes, other.crashes)
                    : Long.compare(other.completedAtMillis, completedAtMillis);
        }

        boolean hasCompleted() {
            return completedAtMillis != NEVER;
        }
    }

    PromptPartTracker(ForwardingContext context) {
        this.context = context;
    }

    /** Records a crash that was not known before, with the shared parts of one of the requests that were running. */
    void recordCrash(PeerMessage.SeenCrash crash) {
        long[] parts = crash.sharedParts();
        for (int depth = 0; depth < parts.length; depth++) {
            if (completedWithin(parts[depth], PROTECTION_MILLIS)) {
                shareClearance(parts[depth]);
            } else {
                addCrash(parts[depth], depth, crash);
            }
        }
    }

    private void addCrash(long part, int depth, PeerMessage.SeenCrash seen) {
        Suspect suspect = suspects.computeIfAbsent(part, key -> new Suspect());
        trim(suspects);
        suspect.depth = Math.max(suspect.depth, depth);
        suspect.lastCrashAtMillis = context.now();
        suspect.crashes
                .computeIfAbsent(seen.upstream(), key -> new Crash(context.now()))
                .requests
                .add(seen.fingerprint());
        scheduleVerdict();
    }

    private void scheduleVerdict() {
        nextVerdictAtMillis = Math.min(nextVerdictAtMillis, context.now() + SETTLING_MILLIS);
        context.wakeAt(nextVerdictAtMillis);
    }

    private static <V> void trim(Map<Long, V> entries) {
        if (entries.size() > MAXIMUM_PARTS) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /** Clears the shared parts of a request that completed. */
    void recordCompletion(long[] parts) {
        for (long part : parts) {
            if (clear(part)) {
                shareClearance(part);
            }
        }
    }

    /** Clears a part of the crashes so far; returns whether there were any. */
    boolean clear(long part) {
        completedAtMillis.remove(part);
        completedAtMillis.put(part, context.now());
        trim(completedAtMillis);
        published.remove(part);
        boolean cleared = suspects.remove(part) != null;
        if (cleared) {
            context.count("crashes.parts-cleared");
        }
        return cleared;
    }

    private void shareClearance(long part) {
        long sentAtMillis = clearanceSentAtMillis.getOrDefault(part, Long.MIN_VALUE / 2);
        if (context.now() - sentAtMillis >= CLEARANCE_INTERVAL_MILLIS) {
            clearanceSentAtMillis.remove(part);
            clearanceSentAtMillis.put(part, context.now());
            trim(clearanceSentAtMillis);
            unsentClearances.add(part);
        }
    }

    private boolean completedWithin(long part, long millis) {
        Long atMillis = completedAtMillis.get(part);
        return atMillis != null && context.now() - atMillis < millis;
    }

    @Override
    public boolean completedRecently(long part) {
        return completedWithin(part, PROTECTION_MILLIS);
    }

    @Override
    public boolean isQuarantined(long part) {
        return quarantineMillisLeft(part) > 0;
    }

    @Override
    public long quarantineMillisLeft(long part) {
        Suspect suspect = suspects.get(part);
        return suspect == null ? 0 : millisLeft(suspect);
    }

    private long millisLeft(Suspect suspect) {
        if (!suspect.wasQuarantined()) {
            return 0;
        }
        long lastReasonMillis = Math.max(suspect.quarantinedAtMillis, suspect.lastCrashAtMillis);
        return Math.max(0, lastReasonMillis + RETENTION_MILLIS - context.now());
    }

    @Override
    public List<UpstreamId> crashedUpstreams(long part) {
        Suspect suspect = suspects.get(part);
        return suspect == null ? List.of() : List.copyOf(suspect.crashes.keySet());
    }

    @Override
    public List<Quarantine> drainNewQuarantines() {
        List<Quarantine> drained = newQuarantines;
        newQuarantines = new ArrayList<>();
        return drained;
    }

    @Override
    public void quarantinePublished(StoreItemContent.Quarantine quarantine) {
        if (contradicts(quarantine)) {
            shareClearance(quarantine.fingerprint());
            return;
        }
        published.put(
                quarantine.fingerprint(), new Published(Set.copyOf(quarantine.crashedUpstreams()), context.now()));
        trim(published);
        suspects.forEach((part, suspect) -> {
            if (suspect.wasQuarantined() && isExplainedElsewhere(part, suspect)) {
                suspect.quarantinedAtMillis = NEVER;
                context.log(
                        "quarantine",
                        "Quarantine of a prompt part withdrawn; a published one explains its crashes.",
                        "fingerprint",
                        Long.toHexString(part),
                        "published",
                        Long.toHexString(quarantine.fingerprint()));
            }
        });
    }

    /** Returns whether this router saw the part complete and knows of too few crashes since. */
    private boolean contradicts(StoreItemContent.Quarantine quarantine) {
        long part = quarantine.fingerprint();
        Suspect suspect = suspects.get(part);
        boolean fewCrashes =
                suspect == null || separateCrashes(suspect.crashes.values()) < UNCERTAIN_QUARANTINE_CRASHES;
        return completedWithin(part, fewCrashes ? COMPLETION_RETENTION_MILLIS : PROTECTION_MILLIS);
    }

    /** Returns whether another quarantined part explains all crashes of a part, and more. */
    private boolean isExplainedElsewhere(long part, Suspect suspect) {
        return published.entrySet().stream()
                .anyMatch(other -> other.getKey() != part
                        && other.getValue().crashes().size() > suspect.crashes.size()
                        && other.getValue().crashes().containsAll(suspect.crashes.keySet()));
    }

    /** Removes and returns the parts whose clearance has not been sent to peers yet. */
    List<Long> drainUnsentClearances() {
        List<Long> drained = List.copyOf(unsentClearances);
        unsentClearances.clear();
        return drained;
    }

    boolean hasUnsent() {
        return !unsentClearances.isEmpty();
    }

    void run() {
        if (context.now() >= nextExpiryAtMillis) {
            nextExpiryAtMillis = context.now() + EXPIRY_INTERVAL_MILLIS;
            forgetExpired();
        }
        if (context.now() < nextVerdictAtMillis) {
            return;
        }
        nextVerdictAtMillis = Long.MAX_VALUE;
        quarantineCauses();
        boolean unsettled = suspects.values().stream()
                .flatMap(suspect -> suspect.crashes.values().stream())
                .anyMatch(crash -> !isSettled(crash));
        if (unsettled) {
            scheduleVerdict();
        }
    }

    private void forgetExpired() {
        completedAtMillis.values().removeIf(atMillis -> context.now() - atMillis > COMPLETION_RETENTION_MILLIS);
        published.values().removeIf(other -> context.now() - other.atMillis() > RETENTION_MILLIS);
        suspects.values().removeIf(suspect -> {
            suspect.crashes.values().removeIf(crash -> context.now() - crash.noticedAtMillis > RETENTION_MILLIS);
            boolean mayRepeat =
                    suspect.wasQuarantined() && context.now() - suspect.quarantinedAtMillis <= REPEAT_MILLIS;
            return suspect.crashes.isEmpty() && !mayRepeat;
        });
    }

    private boolean isSettled(Crash crash) {
        return context.now() - crash.noticedAtMillis >= SETTLING_MILLIS;
    }

    private void quarantineCauses() {
        Set<UpstreamId> explained = new HashSet<>();
        suspects.forEach((part, suspect) -> {
            if (isCause(part, suspect)) {
                explained.addAll(suspect.crashes.keySet());
            }
        });
        for (List<Candidate> best = bestCandidates(explained); !best.isEmpty(); best = bestCandidates(explained)) {
            Candidate cause = best.getFirst();
            boolean certain = best.size() == 1 && !cause.hasCompleted();
            if (!certain && cause.crashes() < UNCERTAIN_QUARANTINE_CRASHES) {
                context.log(
                        "quarantine",
                        "Upstream crashes have no single likely cause yet.",
                        "parts",
                        best.size(),
                        "crashes",
                        cause.crashes());
                return;
            }
            suspects.get(cause.part()).crashes.keySet().removeAll(explained);
            quarantine(cause, best.size());
            explained.addAll(suspects.get(cause.part()).crashes.keySet());
        }
    }

    private boolean isCause(long part, Suspect suspect) {
        return published.containsKey(part) || millisLeft(suspect) > 0;
    }

    /** Returns the most likely cause of crashes that are not explained, with those that are as likely after it. */
    private List<Candidate> bestCandidates(Set<UpstreamId> explained) {
        List<Candidate> best = new ArrayList<>();
        suspects.forEach((part, suspect) -> {
            if (isCause(part, suspect) || isExplainedElsewhere(part, suspect)) {
                return;
            }
            Candidate candidate = candidate(part, suspect, explained);
            if (candidate.crashes() < (suspect.wasQuarantined() ? 1 : QUARANTINE_CRASHES)) {
                return;
            }
            int comparison = best.isEmpty() ? 1 : candidate.compareTo(best.getFirst());
            if (comparison > 0) {
                best.clear();
            }
            if (comparison >= 0) {
                best.add(candidate);
            }
        });
        best.sort((left, right) -> Integer.compare(right.depth(), left.depth()));
        return best;
    }

    private Candidate candidate(long part, Suspect suspect, Set<UpstreamId> explained) {
        List<Crash> crashes = new ArrayList<>();
        Set<Long> requests = new HashSet<>();
        suspect.crashes.forEach((incarnation, crash) -> {
            if (!explained.contains(incarnation) && isSettled(crash)) {
                crashes.add(crash);
                requests.addAll(crash.requests);
            }
        });
        boolean oneRequestOnly = requests.size() < MINIMUM_REQUESTS && !suspect.wasQuarantined();
        long lastCompletionMillis = completedAtMillis.getOrDefault(part, NEVER);
        int counted = lastCompletionMillis == NEVER ? crashes.size() : separateCrashes(crashes);
        return new Candidate(part, oneRequestOnly ? 0 : counted, lastCompletionMillis, suspect.depth);
    }

    /** Counts upstreams that ended at about the same time as one, since they probably have another cause in common. */
    private static int separateCrashes(Collection<Crash> crashes) {
        long[] noticedAtMillis = crashes.stream()
                .mapToLong(crash -> crash.noticedAtMillis)
                .sorted()
                .toArray();
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

    private void quarantine(Candidate cause, int candidates) {
        Suspect suspect = suspects.get(cause.part());
        suspect.quarantinedAtMillis = context.now();
        newQuarantines.add(new Quarantine(cause.part(), false));
        context.count("crashes.parts-quarantined");
        context.log(
                "quarantine",
                "Prompt part quarantined.",
                "fingerprint",
                Long.toHexString(cause.part()),
                "crashes",
                cause.crashes(),
                "equallyLikely",
                candidates,
                "depth",
                suspect.depth,
                "suspects",
                suspects.size());
    }
}
