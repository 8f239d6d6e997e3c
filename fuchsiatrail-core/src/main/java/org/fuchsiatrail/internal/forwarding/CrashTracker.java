package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.StoreItemContent;

/**
 * Records which upstreams a request has crashed, and quarantines requests that keep crashing upstreams.
 *
 * <p>All requests that were running on an upstream are suspected of its crash. One that completes is cleared of all
 * crashes so far and of those that are noticed within some time afterwards, since a request that crashes upstreams
 * never completes. Routers share crashes and clearances, since a request may be retried at any of them.
 */
final class CrashTracker implements QuarantineSource {

    /** The number of upstream incarnations that a request must have crashed before it is refused. */
    private static final int QUARANTINE_CRASHES = 3;

    /** How long crashes are remembered after the last one of a request, in milliseconds. */
    static final long RETENTION_MILLIS = 120_000;

    /**
     * How long a completion clears a request of crashes that are noticed later, in milliseconds; longer than an
     * unanswered attempt waits for its upstream's end.
     */
    private static final long COMPLETION_RETENTION_MILLIS = 30_000;

    /** The most requests whose crashes or completions are remembered; the oldest are forgotten first. */
    private static final int MAXIMUM_REQUESTS = 10_000;

    private final ForwardingContext context;
    private final PromptPartTracker promptParts;
    private final Map<Long, RequestCrashes> requests = new LinkedHashMap<>();
    /** When each request last completed at this router, in milliseconds, in the order of these times. */
    private final Map<Long, Long> completedAtMillis = new LinkedHashMap<>();

    /** When other routers last told of a crash of an incarnation, in milliseconds. */
    private final Map<UpstreamId, Long> toldAtMillis = new LinkedHashMap<>();

    private List<PeerMessage.SeenCrash> unsentCrashes = new ArrayList<>();
    private List<PeerMessage.SeenCrash> unsentClearances = new ArrayList<>();
    private List<Quarantine> newQuarantines = new ArrayList<>();

    private static final class RequestCrashes {
        private final Set<UpstreamId> crashed = new HashSet<>();
        private final Set<UpstreamId> cleared = new HashSet<>();
        private long lastCrashAtMillis;
    }

    CrashTracker(ForwardingContext context, PromptPartTracker promptParts) {
        this.context = context;
        this.promptParts = promptParts;
    }

    /** Records a crash that this router detected, and sends it to peers if it was not known before. */
    void reportCrash(PeerMessage.SeenCrash crash) {
        if (recordCrash(crash, true)) {
            unsentCrashes.add(crash);
        }
    }

    /** Records a crash that a peer detected; returns whether it was not known before. */
    boolean recordCrash(PeerMessage.SeenCrash crash) {
        toldAtMillis.put(crash.upstream(), context.now());
        return recordCrash(crash, false);
    }

    private boolean recordCrash(PeerMessage.SeenCrash crash, boolean detectedHere) {
        if (completedRecently(crash.fingerprint())) {
            clearAndShare(crash);
            return false;
        }
        RequestCrashes request = crashesOf(crash.fingerprint());
        if (request.cleared.contains(crash.upstream()) || !request.crashed.add(crash.upstream())) {
            return false;
        }
        request.lastCrashAtMillis = context.now();
        promptParts.recordCrash(crash);
        context.count("crashes.attributed");
        context.log(
                "quarantine",
                "Upstream crash attributed to a request.",
                "fingerprint",
                Long.toHexString(crash.fingerprint()),
                "upstream",
                crash.upstream(),
                "crashes",
                request.crashed.size(),
                "detectedBy",
                detectedHere ? "this router" : "a peer");
        if (request.crashed.size() == QUARANTINE_CRASHES) {
            newQuarantines.add(new Quarantine(crash.fingerprint(), detectedHere));
        }
        return true;
    }

    /** Returns whether another router has told lately that an incarnation of an upstream crashed. */
    boolean isEndedElsewhere(UpstreamId incarnation) {
        return toldAtMillis.containsKey(incarnation);
    }

    private RequestCrashes crashesOf(long fingerprint) {
        RequestCrashes request = requests.computeIfAbsent(fingerprint, key -> new RequestCrashes());
        trim(requests);
        return request;
    }

    private static <V> void trim(Map<Long, V> entries) {
        if (entries.size() > MAXIMUM_REQUESTS) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /** Clears a request that an upstream executed to the end. */
    void recordCompletion(long fingerprint) {
        completedAtMillis.remove(fingerprint);
        completedAtMillis.put(fingerprint, context.now());
        trim(completedAtMillis);
        RequestCrashes request = requests.get(fingerprint);
        if (request == null) {
            return;
        }
        for (UpstreamId incarnation : List.copyOf(request.crashed)) {
            clearAndShare(PeerMessage.SeenCrash.ofRequest(fingerprint, incarnation));
        }
    }

    @Override
    public boolean completedRecently(long fingerprint) {
        return completedAtMillis.containsKey(fingerprint);
    }

    /** Clears a request of a crash, and sends the clearance to peers if it is new. */
    void clearAndShare(PeerMessage.SeenCrash crash) {
        if (clearCrash(crash)) {
            unsentClearances.add(crash);
        }
    }

    /** Clears a request of a crash, also of one that is reported later; returns whether it was not cleared before. */
    boolean clearCrash(PeerMessage.SeenCrash crash) {
        RequestCrashes request = crashesOf(crash.fingerprint());
        request.crashed.remove(crash.upstream());
        boolean cleared = request.cleared.add(crash.upstream());
        if (cleared) {
            request.lastCrashAtMillis = context.now();
            context.count("crashes.cleared");
        }
        return cleared;
    }

    @Override
    public boolean isQuarantined(long fingerprint) {
        return knownCrashes(fingerprint) >= QUARANTINE_CRASHES;
    }

    @Override
    public long quarantineMillisLeft(long fingerprint) {
        return isQuarantined(fingerprint) ? millisLeft(requests.get(fingerprint)) : 0;
    }

    private long millisLeft(RequestCrashes request) {
        return Math.max(0, request.lastCrashAtMillis + RETENTION_MILLIS - context.now());
    }

    /** The number of upstream incarnations that this router knows a request to have crashed. */
    int knownCrashes(long fingerprint) {
        RequestCrashes request = requests.get(fingerprint);
        return request == null ? 0 : request.crashed.size();
    }

    @Override
    public List<UpstreamId> crashedUpstreams(long fingerprint) {
        RequestCrashes request = requests.get(fingerprint);
        return request == null ? List.of() : List.copyOf(request.crashed);
    }

    @Override
    public List<Quarantine> drainNewQuarantines() {
        List<Quarantine> drained = newQuarantines;
        newQuarantines = new ArrayList<>();
        return drained;
    }

    /** Clears a request that completed here, so that the router that published its quarantine revokes it. */
    @Override
    public void quarantinePublished(StoreItemContent.Quarantine quarantine) {
        if (completedRecently(quarantine.fingerprint())) {
            quarantine
                    .crashedUpstreams()
                    .forEach(upstream ->
                            clearAndShare(PeerMessage.SeenCrash.ofRequest(quarantine.fingerprint(), upstream)));
        }
    }

    /** Removes and returns the crashes that have not been sent to peers yet. */
    List<PeerMessage.SeenCrash> drainUnsentCrashes() {
        List<PeerMessage.SeenCrash> drained = unsentCrashes;
        unsentCrashes = new ArrayList<>();
        return drained;
    }

    /** Removes and returns the clearances that have not been sent to peers yet. */
    List<PeerMessage.SeenCrash> drainUnsentClearances() {
        List<PeerMessage.SeenCrash> drained = unsentClearances;
        unsentClearances = new ArrayList<>();
        return drained;
    }

    boolean hasUnsent() {
        return !unsentCrashes.isEmpty() || !unsentClearances.isEmpty();
    }

    void run() {
        long expiredBeforeMillis = context.now() - COMPLETION_RETENTION_MILLIS;
        Iterator<Long> completions = completedAtMillis.values().iterator();
        while (completions.hasNext() && completions.next() < expiredBeforeMillis) {
            completions.remove();
        }
        toldAtMillis.values().removeIf(atMillis -> atMillis < expiredBeforeMillis);
        requests.values().removeIf(request -> millisLeft(request) == 0);
    }
}
