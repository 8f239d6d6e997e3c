package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.UpstreamEntry;
import org.fuchsiatrail.forwarding.UpstreamLoad;

/**
 * The state of one upstream: its store entry, the load and cache that it reports, the requests in flight on it, and the
 * failures that this router observed.
 */
final class UpstreamState {

    /** How long a peer's report of its work is valid after its last message, in milliseconds; three heartbeats. */
    private static final long PEER_WORK_VALIDITY_MILLIS = 1_600;

    /** How long a report is valid that later messages of the peer do not repeat, in milliseconds. */
    private static final long UNREPEATED_WORK_VALIDITY_MILLIS = 10_000;

    /**
     * Time without a response to several requests after which an upstream is suspected, in milliseconds; one step of an
     * engine takes up to 60 ms.
     */
    private static final long RESPONSE_TIMEOUT_MILLIS = 350;

    /** The same for a single request, in milliseconds; its processing alone may take longer than the timeout above. */
    private static final long SINGLE_REQUEST_TIMEOUT_MILLIS = 900;

    /** Smoothing factor of the failure rate, an exponential moving average in which the last ten outcomes dominate. */
    private static final double FAILURE_RATE_SMOOTHING = 0.1;

    UpstreamEntry entry;
    private final int key;
    /** When its entry first said that it is draining, in milliseconds. */
    long drainingSinceMillis = Long.MAX_VALUE;
    /** When the upstream is removed, unless its entry appears in the store again before. */
    long removalAtMillis = Long.MAX_VALUE;
    /** When the upstream receives no new requests any more, since its entry disappeared. */
    long newRequestsUntilMillis = Long.MAX_VALUE;
    /** Whether the end of this incarnation was reported after its entry was removed. */
    boolean endReported;
    /** Until when it is expected to refuse requests because it loads new weights. */
    long switchingUntilMillis = Long.MIN_VALUE;
    /** Until when it is expected to refuse requests because it is overloaded. */
    long overloadedUntilMillis = Long.MIN_VALUE;
    /** The end of its backoff, in which it receives no new requests after a failure or a timeout. */
    long suspectUntilMillis = Long.MIN_VALUE;

    /** When the upstream last answered a request or probe of this router, and when an attempt last failed. */
    long lastAnswerAtMillis = Long.MIN_VALUE / 2;

    long lastFailureAtMillis = Long.MIN_VALUE / 2;

    /** When the last request was sent that ended unanswered. */
    long lastUnansweredSentAtMillis = Long.MIN_VALUE / 2;

    long lastContactAtMillis = Long.MIN_VALUE;
    /** The latest time without a response while requests were in flight, in milliseconds. */
    private long lastSilenceFromMillis = Long.MIN_VALUE / 2;

    private long lastSilenceUntilMillis = Long.MIN_VALUE / 2;
    int consecutiveFailures;
    final ConnectionHistory connections = new ConnectionHistory();
    /** The fraction of failures among its latest outcomes, 0 to 1. */
    double failureRate;
    /** Whether it receives no new requests until it has answered a probe. */
    boolean awaitsProbe;

    long nextProbeAtMillis = Long.MIN_VALUE;
    final Map<AttemptId, InFlightAttempt> inFlight = new LinkedHashMap<>();
    final Map<String, Long> weightVersions = new HashMap<>();
    final PromptCacheView cache = new PromptCacheView();
    UpstreamLoad load;
    long loadAtMillis = Long.MIN_VALUE;
    private final Map<WorkSource, PeerWork> peerWork = new HashMap<>();
    /** When the first request was sent that ended unanswered since the last answer, in milliseconds. */
    private long unansweredSentAtMillis = Long.MAX_VALUE;

    /** An attempt of this router that runs on this upstream. */
    static final class InFlightAttempt {
        final long sentAtMillis;
        /** Whether the request cannot continue on another upstream. */
        boolean nonResumable;

        final boolean shortPrompt;

        /** The predicted time to its first event, in milliseconds. */
        final double predictedMillis;
        /** KV memory that it needs in addition to cached parts, in tokens. */
        final long memoryTokens;

        long promptTokens;
        /** Whether events of its stream have arrived. */
        boolean streamBegun;

        InFlightAttempt(PendingCall pending, long nowMillis) {
            UpstreamPlacement.Placement placement = pending.placement;
            sentAtMillis = nowMillis;
            nonResumable = isNonResumable(pending);
            shortPrompt = UpstreamPlacement.isShort(pending.call.inputTokens());
            promptTokens = placement.uncachedTokens();
            predictedMillis = placement.predictedMillis();
            memoryTokens = placement.newMemoryTokens() + pending.call.maximumOutputTokens();
        }
    }

    private static boolean isNonResumable(PendingCall pending) {
        return !pending.route.retryable() || pending.possibleExecutions + 1 >= pending.attemptsLeft;
    }

    /** Records whether a request can still continue elsewhere after an attempt that was to replace its current one. */
    void recordResumability(PendingCall pending) {
        InFlightAttempt attempt = inFlight.get(pending.attempt);
        if (attempt != null) {
            attempt.nonResumable = isNonResumable(pending);
        }
    }

    /** Work that a peer told, and when a message of that peer last showed that it is still valid. */
    private record PeerWork(PeerMessage.UpstreamWork work, long receivedAtMillis, long confirmedAtMillis) {

        boolean isValid(long nowMillis) {
            return confirmedAtMillis >= nowMillis - PEER_WORK_VALIDITY_MILLIS
                    && receivedAtMillis >= nowMillis - UNREPEATED_WORK_VALIDITY_MILLIS;
        }
    }

    UpstreamState(UpstreamEntry entry) {
        this.entry = entry;
        this.key = Hashing.xxh3_64().hashCharsToInt(entry.id().value());
        weightVersions.putAll(entry.weights());
    }

    UpstreamId id() {
        return entry.id();
    }

    /** Returns the hash of the id by which routers name this upstream in changes of work. */
    int key() {
        return key;
    }

    /** Returns the id of this incarnation of the upstream; a restart under the same upstream id begins another. */
    UpstreamId incarnationId() {
        return new UpstreamId(entry.id() + "@" + entry.startedAtMillis());
    }

    FailureDomain domain() {
        return entry.failureDomain();
    }

    /**
     * Applies a newer store entry. A different start time means that the upstream restarted and lost its weights and
     * cache.
     */
    void update(UpstreamEntry newerEntry) {
        boolean restarted = newerEntry.startedAtMillis() != entry.startedAtMillis();
        if (!newerEntry.draining()) {
            drainingSinceMillis = Long.MAX_VALUE;
        }
        entry = newerEntry;
        removalAtMillis = Long.MAX_VALUE;
        newRequestsUntilMillis = Long.MAX_VALUE;
        endReported = false;
        if (restarted) {
            weightVersions.clear();
            cache.clear();
            load = null;
            overloadedUntilMillis = Long.MIN_VALUE;
            suspectUntilMillis = Long.MIN_VALUE;
            awaitsProbe = false;
            consecutiveFailures = 0;
        }
        newerEntry.weights().forEach(this::recordWeightVersion);
    }

    /**
     * Removes the work of a source before its newer report is recorded, because that may no longer contain this
     * upstream.
     */
    void removePeerWork(WorkSource source) {
        peerWork.remove(source);
    }

    /**
     * Records an observed version of a model's weights and returns whether it is newer than the known one. Versions
     * only increase within an incarnation.
     */
    boolean recordWeightVersion(String model, long version) {
        Long knownVersion = weightVersions.get(model);
        if (knownVersion != null && knownVersion >= version) {
            return false;
        }
        weightVersions.put(model, version);
        switchingUntilMillis = Long.MIN_VALUE;
        return true;
    }

    void recordPeerWork(WorkSource source, PeerMessage.UpstreamWork work, long nowMillis) {
        peerWork.put(source, new PeerWork(work, nowMillis, nowMillis));
    }

    /** Records that a message of a source did not change its work on this upstream. */
    void confirmPeerWork(WorkSource source, long nowMillis) {
        peerWork.computeIfPresent(
                source, (same, peer) -> new PeerWork(peer.work(), peer.receivedAtMillis(), nowMillis));
    }

    /** The work of this router on the upstream. */
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

    /** The work on the upstream of peers that match a condition. */
    List<PeerMessage.UpstreamWork> peerWork(Predicate<WorkSource> condition, long nowMillis) {
        List<PeerMessage.UpstreamWork> work = new ArrayList<>();
        peerWork.forEach((source, peer) -> {
            if (condition.test(source) && peer.isValid(nowMillis)) {
                work.add(peer.work());
            }
        });
        return work;
    }

    /** The number of requests in flight from all routers, as far as known. */
    int running(long nowMillis) {
        int requests = inFlight.size();
        for (PeerWork peer : peerWork.values()) {
            if (peer.isValid(nowMillis)) {
                requests += peer.work().running();
            }
        }
        return requests;
    }

    /** The number of requests in flight from this router that cannot continue on another upstream. */
    int ownNonResumableRequests() {
        return (int) inFlight.values().stream()
                .filter(attempt -> attempt.nonResumable)
                .count();
    }

    /** The number of requests in flight from all routers that cannot continue on another upstream, as far as known. */
    int nonResumableRequests(long nowMillis) {
        int requests = ownNonResumableRequests();
        for (PeerWork peer : peerWork.values()) {
            if (peer.isValid(nowMillis)) {
                requests += peer.work().bound();
            }
        }
        return requests;
    }

    boolean isSwitchingWeights(long nowMillis) {
        return nowMillis < switchingUntilMillis;
    }

    /** Prompt tokens whose prefill is pending for requests of all routers, as far as known. */
    long pendingPromptTokens(long nowMillis, boolean shortPromptsOnly) {
        long tokens = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            tokens += attempt.shortPrompt || !shortPromptsOnly ? attempt.promptTokens : 0;
        }
        for (PeerWork peer : peerWork.values()) {
            if (peer.isValid(nowMillis)) {
                tokens += shortPromptsOnly
                        ? peer.work().shortPromptTokens()
                        : peer.work().promptTokens();
            }
        }
        return tokens;
    }

    /** KV memory that running requests of all routers need in addition to cached parts, in tokens, as far as known. */
    long memoryTokens(long nowMillis) {
        long tokens = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            tokens += attempt.memoryTokens;
        }
        for (PeerWork peer : peerWork.values()) {
            if (peer.isValid(nowMillis)) {
                tokens += peer.work().memoryTokens();
            }
        }
        return tokens;
    }

    /** The most by which a request without a first event exceeds its predicted time, in milliseconds. */
    double stallMillis(long nowMillis, boolean shortPromptsOnly) {
        double longestStallMillis = 0;
        for (InFlightAttempt attempt : inFlight.values()) {
            if (attempt.promptTokens > 0 && (attempt.shortPrompt || !shortPromptsOnly)) {
                longestStallMillis =
                        Math.max(longestStallMillis, nowMillis - attempt.sentAtMillis - attempt.predictedMillis);
            }
        }
        return longestStallMillis;
    }

    /**
     * The time without a response while requests are in flight, in milliseconds: since the last contact, or since the
     * oldest request was sent when that is later.
     */
    long millisWithoutResponse(long nowMillis) {
        if (inFlight.isEmpty()) {
            return 0;
        }
        return nowMillis - Math.max(oldestSentAtMillis(), lastContactAtMillis);
    }

    /** When an attempt in flight was sent, in milliseconds; now if it is not known. */
    long sentAtMillis(AttemptId attempt, long nowMillis) {
        InFlightAttempt sent = inFlight.get(attempt);
        return sent == null ? nowMillis : sent.sentAtMillis;
    }

    /** When the oldest request in flight was sent, in milliseconds; there must be one. */
    long oldestSentAtMillis() {
        return inFlight.values().iterator().next().sentAtMillis;
    }

    /**
     * Records that an attempt in flight ends unanswered.
     *
     * @return the time for which this upstream has left requests unanswered, in milliseconds, also ones that ended
     */
    long recordUnanswered(AttemptId attempt, long nowMillis) {
        if (unansweredSentAtMillis <= lastAnswerAtMillis) {
            unansweredSentAtMillis = Long.MAX_VALUE;
        }
        InFlightAttempt unanswered = inFlight.get(attempt);
        if (unanswered != null) {
            unansweredSentAtMillis = Math.min(unansweredSentAtMillis, unanswered.sentAtMillis);
            lastUnansweredSentAtMillis = Math.max(lastUnansweredSentAtMillis, unanswered.sentAtMillis);
        }
        return unansweredSentAtMillis == Long.MAX_VALUE
                ? 0
                : nowMillis - Math.max(unansweredSentAtMillis, lastAnswerAtMillis);
    }

    /** Returns whether it has begun a stream of this router that is still open. */
    boolean hasBegunStream() {
        return inFlight.values().stream().anyMatch(attempt -> attempt.streamBegun);
    }

    /** Returns whether an upstream that has begun streams sent nothing for longer than its steps take. */
    boolean isSilent(long nowMillis) {
        return nowMillis - lastContactAtMillis > RESPONSE_TIMEOUT_MILLIS;
    }

    /** Returns whether it failed, rather than being silent, and was not used successfully since. */
    boolean isInBackoff(long nowMillis) {
        return awaitsProbe || nowMillis < suspectUntilMillis;
    }

    /**
     * Returns whether the upstream should receive no new requests: it is in backoff, awaits a probe, or does not
     * respond to requests in flight.
     */
    boolean isSuspected(long nowMillis) {
        long timeoutMillis = inFlight.size() > 1 ? RESPONSE_TIMEOUT_MILLIS : SINGLE_REQUEST_TIMEOUT_MILLIS;
        return isInBackoff(nowMillis) || millisWithoutResponse(nowMillis) > timeoutMillis;
    }

    /** Returns whether an engine has left requests without a response for so long that it may have ended silently. */
    boolean isUnresponsiveEngine(long nowMillis) {
        return !weightVersions.isEmpty() && millisWithoutResponse(nowMillis) > SINGLE_REQUEST_TIMEOUT_MILLIS;
    }

    /** Updates the failure rate with the outcome of an attempt. */
    void recordOutcome(boolean failed) {
        failureRate += FAILURE_RATE_SMOOTHING * ((failed ? 1 : 0) - failureRate);
    }

    void recordContact(long nowMillis) {
        long silentMillis = millisWithoutResponse(nowMillis);
        if (silentMillis > RESPONSE_TIMEOUT_MILLIS) {
            lastSilenceFromMillis = nowMillis - silentMillis;
            lastSilenceUntilMillis = nowMillis;
        }
        lastContactAtMillis = nowMillis;
    }

    /** Returns for how much of a time it was silent, in milliseconds, as far as its latest silence tells. */
    long silentMillisSince(long sinceMillis, long nowMillis) {
        long silentMillis = millisWithoutResponse(nowMillis);
        boolean silentNow = silentMillis > RESPONSE_TIMEOUT_MILLIS;
        long fromMillis = silentNow ? nowMillis - silentMillis : lastSilenceFromMillis;
        long untilMillis = silentNow ? nowMillis : lastSilenceUntilMillis;
        return Math.max(0, untilMillis - Math.max(sinceMillis, fromMillis));
    }
}
