package org.fuchsiatrail.internal.upstreams;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.UpstreamId;

/** A row of the upstream table: the state of one engine or service as known to this router. */
public final class UpstreamRow {

    /** The prefill speed assumed for an engine that has not reported one, in tokens per second. */
    private static final long ASSUMED_PREFILL_TOKENS_PER_SECOND = 8_000;

    /** The maximum number of dispatches recorded between two load reports. */
    private static final int MAXIMUM_RECENT_DISPATCHES = 512;

    private final UpstreamId id;
    Intent.Upstream intent;
    FailureDomain domain;
    LoadReport load;
    long incarnation;
    long loadReceivedAtMillis;
    long nextLoadQueryMillis;
    long nextEventSequence;
    boolean readByThisRouter;
    boolean drainOrdered;
    boolean reportedLeaving;
    long reportedLeavingUntilMillis;
    boolean listedAsLeaving;
    long backoffUntilMillis;
    int consecutiveFailures;
    private long ownTokens;
    private int ownStreams;
    private int streamsStartedSinceReport;
    private final Map<EntryVmId, Long> peerTokens = new HashMap<>();
    /** The time of each dispatch in milliseconds, and its uncached prompt tokens. */
    private final Deque<long[]> recentDispatches = new ArrayDeque<>();

    UpstreamRow(UpstreamId id) {
        this.id = id;
    }

    /**
     * Returns the upstream's id.
     *
     * @return the id
     */
    public UpstreamId id() {
        return id;
    }

    /**
     * Returns the address on which the upstream listens.
     *
     * @return IP address and port
     */
    public String address() {
        return intent.address();
    }

    /**
     * Returns the upstream's configuration.
     *
     * @return the configured intent
     */
    public Intent.Upstream intent() {
        return intent;
    }

    /**
     * Returns the upstream's failure domain.
     *
     * @return the domain
     */
    public FailureDomain domain() {
        return domain;
    }

    /**
     * Returns the engine's last known incarnation.
     *
     * @return the incarnation, 0 when unknown
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the last load report.
     *
     * @return the report, or null when there is none
     */
    public LoadReport load() {
        return load;
    }

    /**
     * Returns whether the upstream is draining, by its configuration, an operator's order or any report.
     *
     * @return true when it gets no new work
     */
    public boolean draining() {
        return intent.draining() || drainOrdered || reportedLeaving || observedLeaving();
    }

    /** Returns whether the upstream's own load report or the platform's list shows that it is draining. */
    boolean observedLeaving() {
        return listedAsLeaving || load != null && load.draining();
    }

    /**
     * Returns whether the upstream may be used.
     *
     * @param now the current time in milliseconds
     * @return false during the backoff after failures
     */
    public boolean reachable(long now) {
        return now >= backoffUntilMillis;
    }

    /**
     * Returns whether the engine has a model loaded, as far as is known.
     *
     * @param model the model
     * @return true when the last report contains it, or when there is no report and the configuration contains it
     */
    public boolean hasLoaded(ModelVersion model) {
        if (load != null) {
            return load.models().contains(model);
        }
        return intent.serves().contains(model.toString());
    }

    /**
     * Returns the engine's prefill speed.
     *
     * @return tokens per second, above 0
     */
    public long prefillTokensPerSecond() {
        return load == null || load.prefillTokensPerSecond() <= 0
                ? ASSUMED_PREFILL_TOKENS_PER_SECOND
                : load.prefillTokensPerSecond();
    }

    /**
     * Estimates the prompt tokens that wait for prefill at the engine.
     *
     * <p>The result is the larger of two estimates of the same queue: the last load report, less the tokens that the
     * engine has computed since, plus those that this router has sent since; and the sum of the tokens that all routers
     * report as in flight.
     *
     * @param now the current time in milliseconds
     * @return tokens
     */
    public long queuedTokens(long now) {
        long elapsedMillis = load == null ? 0 : Math.max(0, now - load.takenAtMillis());
        long computedTokens = elapsedMillis * prefillTokensPerSecond() / 1000;
        long reportedTokens = load == null ? 0 : Math.max(0, load.queuedTokens() - computedTokens);
        long sentSinceReport = tokensDispatchedSince(load == null ? 0 : load.takenAtMillis());
        long byReport = reportedTokens + Math.min(sentSinceReport, ownTokens);
        long byRouters = ownTokens + totalPeerTokens();
        return Math.max(byReport, byRouters);
    }

    /**
     * Estimates the number of answers that the engine is generating.
     *
     * @return the number of streams
     */
    public int runningStreams() {
        int reported = load == null ? 0 : load.runningStreams();
        return Math.max(ownStreams, reported + streamsStartedSinceReport);
    }

    /**
     * Returns whether the engine's batch has a free place.
     *
     * @return true when one more stream fits
     */
    public boolean hasStreamRoom() {
        return load == null || load.maximumStreams() <= 0 || runningStreams() < load.maximumStreams();
    }

    /**
     * Records work sent to the engine.
     *
     * @param now the current time in milliseconds
     * @param uncachedTokens prompt tokens that the engine has to prefill
     */
    public void recordDispatch(long now, long uncachedTokens) {
        ownTokens += uncachedTokens;
        ownStreams++;
        streamsStartedSinceReport++;
        recentDispatches.addLast(new long[] {now, uncachedTokens});
        while (recentDispatches.size() > MAXIMUM_RECENT_DISPATCHES) {
            recentDispatches.removeFirst();
        }
    }

    /**
     * Records that the prefill of a prompt has finished or will not take place.
     *
     * @param uncachedTokens the tokens that were added by {@link #recordDispatch}
     */
    public void recordPrefillFinished(long uncachedTokens) {
        ownTokens = Math.max(0, ownTokens - uncachedTokens);
    }

    /** Records that a stream ended. */
    public void recordStreamEnded() {
        ownStreams = Math.max(0, ownStreams - 1);
    }

    /**
     * Returns the prompt tokens that this router has in flight to the engine.
     *
     * @return tokens
     */
    public long ownTokens() {
        return ownTokens;
    }

    /** Resets the failure count and ends the backoff after a success. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        backoffUntilMillis = 0;
    }

    void applyLoadReport(LoadReport report, long now) {
        load = report;
        loadReceivedAtMillis = now;
        streamsStartedSinceReport = 0;
        while (!recentDispatches.isEmpty() && recentDispatches.peekFirst()[0] < report.takenAtMillis()) {
            recentDispatches.removeFirst();
        }
    }

    void setPeerTokens(EntryVmId peer, long tokens) {
        if (tokens == 0) {
            peerTokens.remove(peer);
        } else {
            peerTokens.put(peer, tokens);
        }
    }

    void retainPeers(List<EntryVmId> peers) {
        peerTokens.keySet().retainAll(peers);
    }

    private long totalPeerTokens() {
        long sum = 0;
        for (long tokens : peerTokens.values()) {
            sum += tokens;
        }
        return sum;
    }

    private long tokensDispatchedSince(long sinceMillis) {
        long sum = 0;
        for (long[] dispatch : recentDispatches) {
            if (dispatch[0] >= sinceMillis) {
                sum += dispatch[1];
            }
        }
        return sum;
    }
}
