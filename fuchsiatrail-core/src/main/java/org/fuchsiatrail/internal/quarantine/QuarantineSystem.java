package org.fuchsiatrail.internal.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.router.RouterContext;

/**
 * Keeps which requests ran on engines that crashed.
 *
 * <p>A request with one crash is a suspect: it runs again, but never beside another suspect. With two it is
 * quarantined. An engine that reports the same life after a supposed crash did not crash, and the crash is taken back.
 */
public final class QuarantineSystem {

    /** The crashes after which a request is not run any more. */
    public static final int QUARANTINE_CRASHES = 2;

    /** The most fingerprints kept; the oldest go first. */
    private static final int CAPACITY = 2_000;

    /** An engine's report must be this much newer than a crash to take it back, in milliseconds. */
    private static final long CLOCK_TOLERANCE_MILLIS = 500;

    private final RouterContext context;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private final Map<String, Set<String>> cleared = new LinkedHashMap<>();
    private final Map<String, Long> crashTimes = new HashMap<>();
    private final Runnable announce;

    /**
     * Creates an empty table.
     *
     * @param context the router's context
     * @param announce tells peers soon
     */
    public QuarantineSystem(RouterContext context, Runnable announce) {
        this.context = context;
        this.announce = announce;
    }

    private static final class Suspect {
        private final Set<String> crashes = new TreeSet<>();
        private long untilMillis;
    }

    /**
     * Remembers that an engine seems to have crashed.
     *
     * @param engine the engine
     * @param incarnation its life
     * @param fingerprints the requests that ran on it
     */
    public void crashed(UpstreamId engine, long incarnation, Collection<String> fingerprints) {
        String crash = engine + "#" + incarnation;
        boolean news = false;
        for (String fingerprint : fingerprints) {
            news |= suspect(fingerprint, crash);
        }
        if (news) {
            context.log("quarantine", "Engine lost.", "engine", engine, "suspects", fingerprints.size());
            announce.run();
        }
    }

    private boolean suspect(String fingerprint, String crash) {
        if (cleared.getOrDefault(fingerprint, Set.of()).contains(crash)) {
            return false;
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        suspect.untilMillis = context.now() + context.settings().quarantineMillis();
        if (!suspect.crashes.add(crash)) {
            return false;
        }
        crashTimes.putIfAbsent(crash, context.now());
        if (suspect.crashes.size() == QUARANTINE_CRASHES) {
            context.count("quarantine.requests");
            context.log("quarantine", "Request quarantined.", "fingerprint", fingerprint, "crashes", suspect.crashes);
        }
        trim(suspects);
        return true;
    }

    /**
     * Takes a load report as a sign of life.
     *
     * @param report the report
     */
    public void receiveLoadReport(LoadReport report) {
        String life = report.engine() + "#" + report.incarnation();
        Long crashTime = crashTimes.get(life);
        if (crashTime == null || report.takenAtMillis() < crashTime + CLOCK_TOLERANCE_MILLIS) {
            return;
        }
        crashTimes.remove(life);
        suspects.forEach((fingerprint, suspect) -> {
            if (suspect.crashes.remove(life)) {
                remember(fingerprint, Set.of(life));
            }
        });
        suspects.values().removeIf(suspect -> suspect.crashes.isEmpty());
    }

    /**
     * Clears a request that ran to its end.
     *
     * @param fingerprint the request
     */
    public void finished(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null && suspect.crashes.size() < QUARANTINE_CRASHES) {
            suspects.remove(fingerprint);
            remember(fingerprint, suspect.crashes);
        }
    }

    private void remember(String fingerprint, Set<String> crashes) {
        Set<String> known = cleared.computeIfAbsent(fingerprint, key -> new TreeSet<>());
        known.addAll(crashes);
        trim(cleared);
    }

    /**
     * Tells whether a request is not to be run any more.
     *
     * @param fingerprint the request
     * @return true when it is quarantined
     */
    public boolean isQuarantined(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.crashes.size() >= QUARANTINE_CRASHES;
    }

    /**
     * Tells whether a request must not run beside another suspect.
     *
     * @param fingerprint the request
     * @return true when it ran on an engine that crashed
     */
    public boolean isSuspect(String fingerprint) {
        return suspects.containsKey(fingerprint);
    }

    /**
     * Returns what peers should know.
     *
     * @return suspicions
     */
    public List<PeerMessage.Suspicion> suspicions() {
        List<PeerMessage.Suspicion> all = new ArrayList<>();
        suspects.forEach((fingerprint, suspect) ->
                all.add(new PeerMessage.Suspicion(fingerprint, List.copyOf(suspect.crashes))));
        return all;
    }

    /**
     * Takes what a peer knows.
     *
     * @param suspicions its suspicions
     */
    public void receiveSuspicions(List<PeerMessage.Suspicion> suspicions) {
        for (PeerMessage.Suspicion suspicion : suspicions) {
            for (String crash : suspicion.crashes()) {
                suspect(suspicion.fingerprint(), crash);
            }
        }
    }

    /** Forgets suspicions whose time is over. */
    public void run() {
        suspects.values().removeIf(suspect -> suspect.untilMillis <= context.now());
        if (suspects.isEmpty()) {
            crashTimes.clear();
        }
    }

    private static <K, V> void trim(Map<K, V> map) {
        while (map.size() > CAPACITY) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
