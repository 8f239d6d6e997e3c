package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.UpstreamEntry;
import org.fuchsiatrail.forwarding.UpstreamLoad;

/** One upstream: what it says of itself, and what this router has seen of it. */
final class UpstreamState {

    /** How long a peer's report of its work counts, in milliseconds; three heartbeats. */
    private static final long PEER_WORK_MILLIS = 1_600;

    /** A silence towards several requests that shows a lost upstream, in milliseconds; steps take up to 60 ms. */
    private static final long LONGEST_SILENCE_MILLIS = 350;

    /** The same towards a single request, whose work alone may take as long. */
    private static final long LONGEST_SINGLE_SILENCE_MILLIS = 900;

    /** What one outcome adds to the rate of failures; the last ten count most. */
    private static final double FAILURE_WEIGHT = 0.1;

    UpstreamEntry entry;
    /** When the upstream is to be taken as gone, unless it is listed again before. */
    long removalAtMillis = Long.MAX_VALUE;
    /** Until when it is expected to refuse requests because it takes new weights. */
    long switchingUntilMillis = Long.MIN_VALUE;
    /** Until when it is expected to refuse requests because it is full. */
    long overloadedUntilMillis = Long.MIN_VALUE;
    /** Until when it gets no new work because it failed or fell silent. */
    long suspectUntilMillis = Long.MIN_VALUE;

    long lastHeardAtMillis = Long.MIN_VALUE;
    int failuresInARow;
    /** The part of its latest answers that were failures, 0 to 1. */
    double failureRate;
    /** Whether it gets no new work before it has answered a probe. */
    boolean awaitsProbe;

    long nextProbeAtMillis = Long.MIN_VALUE;
    final Map<AttemptId, InFlightAttempt> inFlight = new LinkedHashMap<>();
    final Map<String, Long> weightVersions = new HashMap<>();
    final PromptCacheView cache = new PromptCacheView();
    UpstreamLoad load;
    long loadAtMillis = Long.MIN_VALUE;
    private final Map<WorkSource, PeerWork> peerWork = new HashMap<>();

    /** A request of this router on this upstream. */
    static final class InFlightAttempt {
        final long sentAtMillis;
        /** Whether the request cannot go on elsewhere. */
        final boolean nonResumable;

        final boolean shortPrompt;

        /** Expected time to its first event, in milliseconds. */
        final double predictedMillis;
        /** KV memory that it needs besides cached parts, in tokens. */
        final long memoryTokens;

        long promptTokens;

        InFlightAttempt(
                long sentAtMillis,
                boolean bound,
                boolean shortPrompt,
                long promptTokens,
                double predictedMillis,
                long memoryTokens) {
            this.sentAtMillis = sentAtMillis;
            this.nonResumable = bound;
            this.shortPrompt = shortPrompt;
            this.promptTokens = promptTokens;
            this.predictedMillis = predictedMillis;
            this.memoryTokens = memoryTokens;
        }
    }

    private record PeerWork(PeerMessage.UpstreamWork work, long atMillis) {}

    UpstreamState(UpstreamEntry entry) {
        this.entry = entry;
        weightVersions.putAll(entry.weights());
    }

    UpstreamId id() {
        return entry.id();
    }

    /** Names this life of the upstream, which a start under the same id ends. */
    UpstreamId incarnationId() {
        return new UpstreamId(entry.id() + "@" + entry.startedAtMillis());
    }

    FailureDomain domain() {
        return entry.failureDomain();
    }

    /** Takes a newer entry; a later birth means that the upstream lost all it held. */
    void update(UpstreamEntry newer) {
        boolean reborn = newer.startedAtMillis() != entry.startedAtMillis();
        entry = newer;
        removalAtMillis = Long.MAX_VALUE;
        if (reborn) {
            weightVersions.clear();
            cache.clear();
            load = null;
            suspectUntilMillis = Long.MIN_VALUE;
            awaitsProbe = false;
            failuresInARow = 0;
        }
        newer.weights().forEach(this::recordWeightVersion);
    }

    /** Forgets work that newer news no longer names. */
    void forgetPeerWork(WorkSource source) {
        peerWork.remove(source);
    }

    /** Remembers the version of a model's weights; versions only increase within a life. */
    boolean recordWeightVersion(String model, long version) {
        Long before = weightVersions.get(model);
        if (before != null && before >= version) {
            return false;
        }
        weightVersions.put(model, version);
        switchingUntilMillis = Long.MIN_VALUE;
        return true;
    }

    void takePeerWork(WorkSource source, PeerMessage.UpstreamWork work, long nowMillis) {
        peerWork.put(source, new PeerWork(work, nowMillis));
    }

    /** What this router has in flight on the upstream. */
    PeerMessage.UpstreamWork ownWork() {
        long tokens = 0;
        long shortTokens = 0;
        long memory = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            tokens += attempt.promptTokens;
            shortTokens += attempt.shortPrompt ? attempt.promptTokens : 0;
            memory += attempt.memoryTokens;
        }
        return new PeerMessage.UpstreamWork(
                id(), inFlight.size(), ownNonResumableRequests(), tokens, shortTokens, memory);
    }

    /** What routers that tell it themselves have in flight on the upstream. */
    List<PeerMessage.UpstreamWork> directPeerWork(long nowMillis) {
        List<PeerMessage.UpstreamWork> work = new ArrayList<>();
        peerWork.forEach((source, peer) -> {
            if (source instanceof WorkSource.Router && peer.atMillis() >= nowMillis - PEER_WORK_MILLIS) {
                work.add(peer.work());
            }
        });
        return work;
    }

    /** Requests in flight from all routers, as far as known. */
    int running(long nowMillis) {
        int running = inFlight.size();
        for (PeerWork peer : peerWork.values()) {
            if (peer.atMillis() >= nowMillis - PEER_WORK_MILLIS) {
                running += peer.work().running();
            }
        }
        return running;
    }

    /** Own requests in flight that cannot go on elsewhere. */
    int ownNonResumableRequests() {
        return (int) inFlight.values().stream()
                .filter(attempt -> attempt.nonResumable)
                .count();
    }

    /** Requests in flight from all routers that cannot go on elsewhere, as far as known. */
    int nonResumableRequests(long nowMillis) {
        int bound = ownNonResumableRequests();
        for (PeerWork peer : peerWork.values()) {
            if (peer.atMillis() >= nowMillis - PEER_WORK_MILLIS) {
                bound += peer.work().bound();
            }
        }
        return bound;
    }

    boolean switching(long nowMillis) {
        return nowMillis < switchingUntilMillis;
    }

    /** Prompt tokens that are still to be read for requests of all routers, as far as known. */
    long pendingPromptTokens(long nowMillis, boolean shortPromptsOnly) {
        long tokens = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            tokens += attempt.shortPrompt || !shortPromptsOnly ? attempt.promptTokens : 0;
        }
        for (PeerWork peer : peerWork.values()) {
            if (peer.atMillis() >= nowMillis - PEER_WORK_MILLIS) {
                tokens += shortPromptsOnly
                        ? peer.work().shortPromptTokens()
                        : peer.work().promptTokens();
            }
        }
        return tokens;
    }

    /** KV memory that running requests of all routers need besides cached parts, in tokens, as far as known. */
    long memoryTokens(long nowMillis) {
        long tokens = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            tokens += attempt.memoryTokens;
        }
        for (PeerWork peer : peerWork.values()) {
            if (peer.atMillis() >= nowMillis - PEER_WORK_MILLIS) {
                tokens += peer.work().memoryTokens();
            }
        }
        return tokens;
    }

    /** How far the slowest request without a first event is beyond its prediction, in milliseconds. */
    double stallMillis(long nowMillis, boolean shortPromptsOnly) {
        double stall = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            if (attempt.promptTokens > 0 && (attempt.shortPrompt || !shortPromptsOnly)) {
                stall = Math.max(stall, nowMillis - attempt.sentAtMillis - attempt.predictedMillis);
            }
        }
        return stall;
    }

    /** The time since the oldest unanswered request was sent during which nothing was heard. */
    long millisWithoutResponse(long nowMillis) {
        if (inFlight.isEmpty()) {
            return 0;
        }
        long oldest = inFlight.values().iterator().next().sentAtMillis;
        return nowMillis - Math.max(oldest, lastHeardAtMillis);
    }

    /** Tells whether it gets no new work: it failed lately, awaits a probe, or is silent towards requests. */
    boolean suspect(long nowMillis) {
        long longestSilence = inFlight.size() > 1 ? LONGEST_SILENCE_MILLIS : LONGEST_SINGLE_SILENCE_MILLIS;
        return awaitsProbe || nowMillis < suspectUntilMillis || millisWithoutResponse(nowMillis) > longestSilence;
    }

    /** Counts an answer or a loss into the rate of failures. */
    void observeOutcome(boolean failed) {
        failureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - failureRate);
    }

    void recordContact(long nowMillis) {
        lastHeardAtMillis = nowMillis;
    }
}
