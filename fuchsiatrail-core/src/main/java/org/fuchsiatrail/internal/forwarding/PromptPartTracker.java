package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

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

    /** How long routers collect the suspects of a crash before it counts, in milliseconds; three peer updates. */
    private static final long SETTLING_MILLIS = 1_000;

    /**
     * The least time between two verdicts in a fleet with relays, in milliseconds. News of a crash pass through several
     * routers there, so that it must count once it has settled.
     */
    private static final long RELAYED_VERDICT_INTERVAL_MILLIS = 100;

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

    private final ForwardingContext context;
    private final BooleanSupplier usesRelays;
    private final Map<Long, PromptPartSuspect> suspects = new LinkedHashMap<>();
    private final Map<Long, Long> completedAtMillis = new LinkedHashMap<>();
    private final Map<Long, Long> clearanceSentAtMillis = new LinkedHashMap<>();
    /** The parts and requests that other routers have published as quarantined. */
    private final Map<Long, Published> published = new LinkedHashMap<>();

    private final Set<Long> unsentClearances = new HashSet<>();
    private List<Quarantine> newQuarantines = new ArrayList<>();
    private long nextVerdictAtMillis = Long.MAX_VALUE;
    private long lastVerdictAtMillis = Long.MIN_VALUE / 2;
    private long nextExpiryAtMillis;

    private record Published(Set<UpstreamId> crashes, long atMillis) {}

    PromptPartTracker(ForwardingContext context, BooleanSupplier usesRelays) {
        this.context = context;
        this.usesRelays = usesRelays;
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
        PromptPartSuspect suspect = suspects.computeIfAbsent(part, key -> new PromptPartSuspect());
        trim(suspects);
        suspect.recordCrash(seen, depth, context.now());
        scheduleVerdict(context.now());
    }

    /** Schedules the verdict that counts a crash noticed at a time. */
    private void scheduleVerdict(long noticedAtMillis) {
        long settledAtMillis = noticedAtMillis + SETTLING_MILLIS;
        long atMillis = Math.max(settledAtMillis, lastVerdictAtMillis + verdictIntervalMillis());
        nextVerdictAtMillis = Math.min(nextVerdictAtMillis, atMillis);
        context.wakeAt(nextVerdictAtMillis);
    }

    private long verdictIntervalMillis() {
        return usesRelays.getAsBoolean() ? RELAYED_VERDICT_INTERVAL_MILLIS : SETTLING_MILLIS;
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
        PromptPartSuspect cleared = suspects.remove(part);
        if (cleared == null) {
            return false;
        }
        context.count("crashes.parts-cleared");
        if (cleared.wasQuarantined()) {
            context.log(
                    "quarantine",
                    "Quarantine of a prompt part ended; a request with it completed.",
                    "fingerprint",
                    Long.toHexString(part),
                    "crashes",
                    cleared.crashes().size());
        }
        return true;
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
        PromptPartSuspect suspect = suspects.get(part);
        return suspect == null ? 0 : millisLeft(suspect);
    }

    private long millisLeft(PromptPartSuspect suspect) {
        return suspect.quarantineMillisLeft(context.now(), RETENTION_MILLIS);
    }

    /** Crashes that were noticed after this time may still get further suspects. */
    private long settledBeforeMillis() {
        return context.now() - SETTLING_MILLIS;
    }

    @Override
    public List<UpstreamId> crashedUpstreams(long part) {
        PromptPartSuspect suspect = suspects.get(part);
        return suspect == null ? List.of() : List.copyOf(suspect.crashes().keySet());
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
            if (millisLeft(suspect) > 0 && isExplainedElsewhere(part, suspect)) {
                suspect.endQuarantine();
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
        PromptPartSuspect suspect = suspects.get(part);
        boolean fewCrashes = suspect == null || suspect.separateCrashes() < UNCERTAIN_QUARANTINE_CRASHES;
        return completedWithin(part, fewCrashes ? COMPLETION_RETENTION_MILLIS : PROTECTION_MILLIS);
    }

    /** Returns whether another quarantined part explains all crashes of a part, and more. */
    private boolean isExplainedElsewhere(long part, PromptPartSuspect suspect) {
        return published.entrySet().stream()
                .anyMatch(other -> other.getKey() != part
                        && other.getValue().crashes().size() > suspect.crashes().size()
                        && other.getValue()
                                .crashes()
                                .containsAll(suspect.crashes().keySet()));
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
        lastVerdictAtMillis = context.now();
        quarantineCauses();
        suspects.values().stream()
                .flatMap(suspect -> suspect.crashes().values().stream())
                .mapToLong(PromptPartSuspect.Crash::noticedAtMillis)
                .filter(noticedAtMillis -> noticedAtMillis > settledBeforeMillis())
                .min()
                .ifPresent(this::scheduleVerdict);
    }

    private void forgetExpired() {
        completedAtMillis.values().removeIf(atMillis -> context.now() - atMillis > COMPLETION_RETENTION_MILLIS);
        published.values().removeIf(other -> context.now() - other.atMillis() > RETENTION_MILLIS);
        suspects.values().removeIf(suspect -> {
            suspect.crashes().values().removeIf(crash -> context.now() - crash.noticedAtMillis() > RETENTION_MILLIS);
            boolean mayRepeat =
                    suspect.wasQuarantined() && suspect.millisSinceQuarantine(context.now()) <= REPEAT_MILLIS;
            return suspect.crashes().isEmpty() && !mayRepeat;
        });
    }

    private void quarantineCauses() {
        Set<UpstreamId> explained = new HashSet<>();
        suspects.forEach((part, suspect) -> {
            if (isCause(part, suspect)) {
                explained.addAll(suspect.crashes().keySet());
            }
        });
        for (List<CrashCause> best = bestCandidates(explained); !best.isEmpty(); best = bestCandidates(explained)) {
            CrashCause cause = best.getFirst();
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
            suspects.get(cause.part()).crashes().keySet().removeAll(explained);
            quarantine(cause, best.size());
            explained.addAll(suspects.get(cause.part()).crashes().keySet());
        }
    }

    private boolean isCause(long part, PromptPartSuspect suspect) {
        return published.containsKey(part) || millisLeft(suspect) > 0;
    }

    /** Returns the most likely cause of crashes that are not explained, with those that are as likely after it. */
    private List<CrashCause> bestCandidates(Set<UpstreamId> explained) {
        List<CrashCause> best = new ArrayList<>();
        suspects.forEach((part, suspect) -> {
            if (isCause(part, suspect) || isExplainedElsewhere(part, suspect)) {
                return;
            }
            CrashCause candidate = suspect.asCause(part, explained, settledBeforeMillis(), completedAtMillis.get(part));
            if (candidate.crashes() < (suspect.wasQuarantined() ? 1 : QUARANTINE_CRASHES)) {
                return;
            }
            int comparison = best.isEmpty() ? 1 : candidate.compareLikelihood(best.getFirst());
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

    private void quarantine(CrashCause cause, int candidates) {
        PromptPartSuspect suspect = suspects.get(cause.part());
        suspect.beginQuarantine(context.now());
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
                cause.depth(),
                "suspects",
                suspects.size());
    }
}
