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

/** A row of the upstream table: one engine or service as this router sees it. */
public final class UpstreamRow {

    /** The prefill speed assumed of an engine that has not reported, in tokens a second. */
    private static final long ASSUMED_PREFILL_TOKENS_PER_SECOND = 8_000;

    /** The most dispatches remembered between two load reports. */
    private static final int MOST_RECENT_DISPATCHES = 512;

    private final UpstreamId id;
    Intent.Upstream intent;
    FailureDomain domain;
    LoadReport load;
    long incarnation;
    long loadHeardAtMillis;
    long nextLoadMillis;
    long nextEventSequence;
    boolean readHere;
    boolean drainOrdered;
    boolean saidToLeave;
    long saidToLeaveUntilMillis;
    boolean listedLeaving;
    long avoidUntilMillis;
    int failures;
    private long ownTokens;
    private int ownStreams;
    private int streamsStartedSinceReport;
    private final Map<EntryVmId, Long> peerTokens = new HashMap<>();
    private final Deque<long[]> recentDispatches = new ArrayDeque<>();

    UpstreamRow(UpstreamId id) {
        this.id = id;
    }

    /**
     * Returns the upstream's name.
     *
     * @return the id
     */
    public UpstreamId id() {
        return id;
    }

    /**
     * Returns where the upstream listens.
     *
     * @return IP address and port
     */
    public String address() {
        return intent.address();
    }

    /**
     * Returns what the configuration says of the upstream.
     *
     * @return the intent
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
     * Returns the life of the engine that was last heard of.
     *
     * @return the incarnation, 0 when unknown
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the last load report.
     *
     * @return the report, or null
     */
    public LoadReport load() {
        return load;
    }

    /**
     * Tells whether the upstream is leaving, whoever said so first.
     *
     * @return true when it gets no new work
     */
    public boolean draining() {
        return intent.draining() || drainOrdered || saidToLeave || seenLeaving();
    }

    /** Tells whether this router itself sees that the upstream is leaving. */
    boolean seenLeaving() {
        return listedLeaving || load != null && load.draining();
    }

    /**
     * Tells whether the upstream may be tried.
     *
     * @param now the time
     * @return false while it is avoided after failures
     */
    public boolean reachable(long now) {
        return now >= avoidUntilMillis;
    }

    /**
     * Tells whether the engine has a model loaded, as far as is known.
     *
     * @param model the model
     * @return true when the last report names it, or when there is no report and the configuration names it
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
     * @return tokens a second, above 0
     */
    public long prefillTokensPerSecond() {
        return load == null || load.prefillTokensPerSecond() <= 0
                ? ASSUMED_PREFILL_TOKENS_PER_SECOND
                : load.prefillTokensPerSecond();
    }

    /**
     * Estimates the prompt tokens that wait at the engine.
     *
     * <p>There are two views of the same queue, and the larger counts: the last report, less what the engine has
     * computed since, with what this router sent after it; and the work that all routers say they have in flight.
     *
     * @param now the time
     * @return tokens
     */
    public long queuedTokens(long now) {
        long elapsed = load == null ? 0 : Math.max(0, now - load.takenAtMillis());
        long computed = elapsed * prefillTokensPerSecond() / 1000;
        long reported = load == null ? 0 : Math.max(0, load.queuedTokens() - computed);
        long sentSince = tokensSentAfter(load == null ? 0 : load.takenAtMillis());
        long byReport = reported + Math.min(sentSince, ownTokens);
        long byRouters = ownTokens + peersTokens();
        return Math.max(byReport, byRouters);
    }

    /**
     * Estimates the answers that the engine is generating.
     *
     * @return streams
     */
    public int runningStreams() {
        int reported = load == null ? 0 : load.runningStreams();
        return Math.max(ownStreams, reported + streamsStartedSinceReport);
    }

    /**
     * Tells whether the engine's batch has room.
     *
     * @return true when one more stream fits
     */
    public boolean hasStreamRoom() {
        return load == null || load.maximumStreams() <= 0 || runningStreams() < load.maximumStreams();
    }

    /**
     * Remembers work sent to the engine.
     *
     * @param now the time
     * @param uncachedTokens prompt tokens it has to compute
     */
    public void dispatched(long now, long uncachedTokens) {
        ownTokens += uncachedTokens;
        ownStreams++;
        streamsStartedSinceReport++;
        recentDispatches.addLast(new long[] {now, uncachedTokens});
        while (recentDispatches.size() > MOST_RECENT_DISPATCHES) {
            recentDispatches.removeFirst();
        }
    }

    /**
     * Remembers that the engine has computed a prompt, or will not.
     *
     * @param uncachedTokens what was added by {@link #dispatched}
     */
    public void prefillOver(long uncachedTokens) {
        ownTokens = Math.max(0, ownTokens - uncachedTokens);
    }

    /** Remembers that a stream ended. */
    public void streamOver() {
        ownStreams = Math.max(0, ownStreams - 1);
    }

    /**
     * Returns this router's prompt tokens in flight to the engine.
     *
     * @return tokens
     */
    public long ownTokens() {
        return ownTokens;
    }

    /** Forgets failures after a success. */
    public void succeeded() {
        failures = 0;
        avoidUntilMillis = 0;
    }

    void takeLoad(LoadReport report, long now) {
        load = report;
        loadHeardAtMillis = now;
        streamsStartedSinceReport = 0;
        while (!recentDispatches.isEmpty() && recentDispatches.peekFirst()[0] < report.takenAtMillis()) {
            recentDispatches.removeFirst();
        }
    }

    void takePeerTokens(EntryVmId peer, long tokens) {
        if (tokens == 0) {
            peerTokens.remove(peer);
        } else {
            peerTokens.put(peer, tokens);
        }
    }

    void forgetPeers(List<EntryVmId> alive) {
        peerTokens.keySet().retainAll(alive);
    }

    private long peersTokens() {
        long sum = 0;
        for (long tokens : peerTokens.values()) {
            sum += tokens;
        }
        return sum;
    }

    private long tokensSentAfter(long moment) {
        long sum = 0;
        for (long[] dispatch : recentDispatches) {
            if (dispatch[0] >= moment) {
                sum += dispatch[1];
            }
        }
        return sum;
    }
}
