package org.fuchsiatrail.internal.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.router.RouterContext;

/**
 * Records which requests ran on engines that crashed, and quarantines requests that are involved in repeated crashes.
 *
 * <p>A suspicion ends a fixed time after the last crash. Routers tell each other the ages of crashes and keep the
 * highest, so that neither clocks that differ nor repeated heartbeats prolong it.
 *
 * <p>A request with one crash is a suspect: it is retried, but never on the same engine as another suspect. With two
 * crashes it is quarantined. An engine that reports the same incarnation after a presumed crash did not crash, and the
 * crash is retracted.
 */
public final class QuarantineSystem {

    /** The number of crashes after which a request is no longer run. */
    public static final int QUARANTINE_CRASHES = 2;

    /** The maximum number of suspects, and of requests with cleared crashes; the oldest are removed first. */
    private static final int MAXIMUM_ENTRIES = 2_000;

    /**
     * How much newer than a presumed crash an engine's report must be to retract the crash, in milliseconds. The report
     * carries the time of the engine's clock and the crash that of this router's clock, and the two may differ.
     */
    private static final long CLOCK_TOLERANCE_MILLIS = 500;

    private final RouterContext context;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private final Map<String, Set<String>> clearedCrashes = new LinkedHashMap<>();
    private final Map<String, Long> crashTimes = new HashMap<>();
    private final Runnable scheduleGossip;

    /**
     * Creates an empty table.
     *
     * @param context the router's context
     * @param scheduleGossip sends the suspicions to peers soon
     */
    public QuarantineSystem(RouterContext context, Runnable scheduleGossip) {
        this.context = context;
        this.scheduleGossip = scheduleGossip;
    }

    private static final class Suspect {
        private final Map<String, Long> crashedAtMillis = new TreeMap<>();

        private long lastCrashAtMillis() {
            return Collections.max(crashedAtMillis.values());
        }
    }

    /**
     * Records the presumed crash of an engine.
     *
     * @param engine the engine
     * @param incarnation the incarnation that crashed
     * @param fingerprints the fingerprints of the requests that ran on it
     */
    public void recordCrash(UpstreamId engine, long incarnation, Collection<String> fingerprints) {
        String crash = engine + "#" + incarnation;
        boolean changed = false;
        for (String fingerprint : fingerprints) {
            changed |= addCrash(fingerprint, crash, context.now());
        }
        if (changed) {
            context.log(
                    "quarantine",
                    "Engine lost or silent; its requests are suspects.",
                    "engine",
                    engine,
                    "suspects",
                    fingerprints.size());
            scheduleGossip.run();
        }
    }

    private boolean addCrash(String fingerprint, String crash, long crashedAtMillis) {
        if (clearedCrashes.getOrDefault(fingerprint, Set.of()).contains(crash)) {
            return false;
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        boolean known = suspect.crashedAtMillis.containsKey(crash);
        suspect.crashedAtMillis.merge(crash, crashedAtMillis, Math::min);
        if (known) {
            return false;
        }
        crashTimes.putIfAbsent(crash, context.now());
        if (suspect.crashedAtMillis.size() == QUARANTINE_CRASHES) {
            context.count("quarantine.requests");
            context.log(
                    "quarantine",
                    "Request quarantined after repeated engine crashes.",
                    "fingerprint",
                    fingerprint,
                    "crashes",
                    suspect.crashedAtMillis.keySet());
        }
        trim(suspects);
        return true;
    }

    /**
     * Retracts the crash of an incarnation that sent a later load report.
     *
     * @param report the report
     */
    public void receiveLoadReport(LoadReport report) {
        String crash = report.engine() + "#" + report.incarnation();
        Long crashTime = crashTimes.get(crash);
        if (crashTime == null || report.takenAtMillis() < crashTime + CLOCK_TOLERANCE_MILLIS) {
            return;
        }
        crashTimes.remove(crash);
        suspects.forEach((fingerprint, suspect) -> {
            if (suspect.crashedAtMillis.remove(crash) != null) {
                recordClearedCrashes(fingerprint, Set.of(crash));
            }
        });
        suspects.values().removeIf(suspect -> suspect.crashedAtMillis.isEmpty());
    }

    /**
     * Clears a suspect request that completed; a quarantined request stays quarantined.
     *
     * @param fingerprint the request's fingerprint
     */
    public void recordCompletion(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null && suspect.crashedAtMillis.size() < QUARANTINE_CRASHES) {
            suspects.remove(fingerprint);
            recordClearedCrashes(fingerprint, suspect.crashedAtMillis.keySet());
        }
    }

    private void recordClearedCrashes(String fingerprint, Set<String> crashes) {
        Set<String> clearedOfRequest = clearedCrashes.computeIfAbsent(fingerprint, key -> new TreeSet<>());
        clearedOfRequest.addAll(crashes);
        trim(clearedCrashes);
    }

    /**
     * Returns whether a request is quarantined and must not run.
     *
     * @param fingerprint the request's fingerprint
     * @return true when it is quarantined
     */
    public boolean isQuarantined(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.crashedAtMillis.size() >= QUARANTINE_CRASHES;
    }

    /**
     * Returns whether a request must not run on the same engine as another suspect.
     *
     * @param fingerprint the request's fingerprint
     * @return true when it ran on an engine that crashed
     */
    public boolean isSuspect(String fingerprint) {
        return suspects.containsKey(fingerprint);
    }

    /**
     * Returns the suspicions to send to peers.
     *
     * @return one suspicion per suspect or quarantined request
     */
    public List<PeerMessage.Suspicion> suspicions() {
        List<PeerMessage.Suspicion> all = new ArrayList<>();
        suspects.forEach((fingerprint, suspect) -> {
            List<Long> agesMillis = new ArrayList<>();
            suspect.crashedAtMillis.values().forEach(atMillis -> agesMillis.add(context.now() - atMillis));
            all.add(new PeerMessage.Suspicion(fingerprint, List.copyOf(suspect.crashedAtMillis.keySet()), agesMillis));
        });
        return all;
    }

    /**
     * Applies the suspicions of a peer.
     *
     * @param suspicions the peer's suspicions
     */
    public void receiveSuspicions(List<PeerMessage.Suspicion> suspicions) {
        for (PeerMessage.Suspicion suspicion : suspicions) {
            if (suspicion.lastCrashAgeMillis() >= context.settings().quarantineMillis()) {
                continue;
            }
            for (int index = 0; index < suspicion.crashes().size(); index++) {
                addCrash(
                        suspicion.fingerprint(),
                        suspicion.crashes().get(index),
                        context.now() - suspicion.ageMillis(index));
            }
        }
    }

    /** Removes expired suspicions. */
    public void run() {
        long quarantineMillis = context.settings().quarantineMillis();
        suspects.values().removeIf(suspect -> context.now() - suspect.lastCrashAtMillis() >= quarantineMillis);
        if (suspects.isEmpty()) {
            crashTimes.clear();
        }
    }

    private static <K, V> void trim(Map<K, V> map) {
        while (map.size() > MAXIMUM_ENTRIES) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
