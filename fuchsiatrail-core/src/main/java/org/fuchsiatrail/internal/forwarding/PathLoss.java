package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.internal.paths.LostPathsDecision;

/**
 * Decides whether this router has probably lost its paths to all upstreams of a service: several failed or are silent
 * since the last answer of any of them, or connections to more than one timed out and none made later was of use.
 *
 * <p>While the paths are lost, single requests try them, so that few are lost if the paths still hang. A request that
 * must not be repeated tries them less often than others, and the less often the longer the loss lasts.
 */
final class PathLoss {

    /** The number of a few upstreams whose failures show that the paths to all are lost, or all of fewer. */
    private static final int FAILED_WHEN_LOST = 3;

    /**
     * The same for requests that must not be repeated. A relay costs them little, and a path that hangs costs them
     * their only attempt.
     */
    private static final int FAILED_WHEN_LOST_UNREPEATABLE = 1;

    /** The least time without an answer after which a service with requests in flight is silent, in milliseconds. */
    private static final long SERVICE_SILENCE_MILLIS = 900;

    /** The same for an engine, in milliseconds; long prompts take more than a second under load. */
    private static final long ENGINE_SILENCE_MILLIS = 1_500;

    /** That time as a multiple of the latency target, if that is longer. */
    private static final long SILENCE_FACTOR = 2;

    /** How long after the last failure a repeatable request tries the own paths again, in milliseconds. */
    private static final long RETRY_MILLIS = 2_000;

    /** The same for a request that must not be repeated, in milliseconds; doubled by each trial that failed. */
    private static final long UNREPEATABLE_RETRY_MILLIS = 4_000;

    /** How often that is doubled at most. */
    private static final int MAXIMUM_DOUBLINGS = 3;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final UpstreamTable upstreams;
    private final Map<String, Trials> trialsByService = new HashMap<>();

    /** The requests of a service that tried the own paths since these were lost. */
    private static final class Trials {
        private long lastAtMillis = Long.MIN_VALUE / 2;
        private int unrepeatable;
    }

    PathLoss(ForwardingContext context, StoreReplica replica, UpstreamTable upstreams) {
        this.context = context;
        this.replica = replica;
        this.upstreams = upstreams;
    }

    /** Returns whether the request should not be sent on the own paths; a request that may try them counts as sent. */
    boolean isLostFor(PendingCall pending) {
        List<UpstreamState> active = upstreams.activeUpstreams(pending.service);
        long lastAnswerAtMillis = Long.MIN_VALUE / 2;
        for (UpstreamState upstream : active) {
            lastAnswerAtMillis = Math.max(lastAnswerAtMillis, upstream.lastAnswerAtMillis);
        }
        boolean repeatable = pending.route.retryable();
        long lastFailureAtMillis = Long.MIN_VALUE / 2;
        List<LostPathsDecision.Destination> destinations = new ArrayList<>();
        for (UpstreamState upstream : active) {
            long silentAtMillis = silentAtMillis(pending, upstream, lastAnswerAtMillis);
            boolean silent = context.now() > silentAtMillis;
            boolean failedSince = upstream.lastFailureAtMillis > lastAnswerAtMillis;
            boolean unansweredSince = failedSince && upstream.lastUnansweredSentAtMillis >= lastAnswerAtMillis;
            boolean failed = silent || (repeatable ? failedSince : unansweredSince);
            if (failed) {
                lastFailureAtMillis = Math.max(
                        lastFailureAtMillis,
                        Math.max(upstream.lastFailureAtMillis, silent ? silentAtMillis : Long.MIN_VALUE));
            }
            destinations.add(
                    new LostPathsDecision.Destination(wasTriedLately(upstream), failed, upstreams.isDark(upstream)));
        }
        int failedWhenLost = repeatable ? FAILED_WHEN_LOST : FAILED_WHEN_LOST_UNREPEATABLE;
        boolean inProportion = pending.call.relayed() && DarkSights.areTold(context, replica);
        boolean failuresShowLoss =
                LostPathsDecision.decide(destinations, failedWhenLost, inProportion) instanceof LostPathsDecision.Lost;
        // Streams that go on over old connections don't show that a new request finds one.
        boolean timeoutsShowLoss = ConnectionHistory.areLost(
                withoutDark(active), context.settings().self().failureDomain());
        if (timeoutsShowLoss) {
            lastFailureAtMillis = Math.max(lastFailureAtMillis, ConnectionHistory.lastTimeoutAtMillis(active));
        }
        boolean lost = failuresShowLoss || timeoutsShowLoss;
        return lost && !mayTry(pending, lastAnswerAtMillis, lastFailureAtMillis);
    }

    private List<UpstreamState> withoutDark(List<UpstreamState> active) {
        return active.stream().filter(upstream -> !upstreams.isDark(upstream)).toList();
    }

    private boolean wasTriedLately(UpstreamState upstream) {
        long lastAtMillis = Math.max(upstream.lastAnswerAtMillis, upstream.lastFailureAtMillis);
        return context.now() - lastAtMillis <= LostPathsDecision.RECENT_MILLIS;
    }

    /** When an upstream with requests in flight became silent, or the end of time if it has none. */
    private static long silentAtMillis(PendingCall pending, UpstreamState upstream, long lastAnswerAtMillis) {
        long silenceMillis = Math.max(
                upstream.weightVersions.isEmpty() ? SERVICE_SILENCE_MILLIS : ENGINE_SILENCE_MILLIS,
                pending.route.latencyTargetMillis() * SILENCE_FACTOR);
        return upstream.inFlight.isEmpty()
                ? Long.MAX_VALUE
                : Math.max(upstream.oldestSentAtMillis(), lastAnswerAtMillis) + silenceMillis;
    }

    private boolean mayTry(PendingCall pending, long lastAnswerAtMillis, long lastFailureAtMillis) {
        if (pending.call.relayed()) {
            return false;
        }
        Trials trials = trialsByService.computeIfAbsent(pending.service, key -> new Trials());
        if (trials.lastAtMillis < lastAnswerAtMillis) {
            trials.unrepeatable = 0;
        }
        boolean repeatable = pending.route.retryable();
        long retryMillis = repeatable
                ? RETRY_MILLIS
                : UNREPEATABLE_RETRY_MILLIS << Math.min(trials.unrepeatable, MAXIMUM_DOUBLINGS);
        if (context.now() - Math.max(lastFailureAtMillis, trials.lastAtMillis) < retryMillis) {
            return false;
        }
        trials.lastAtMillis = context.now();
        trials.unrepeatable += repeatable ? 0 : 1;
        context.count("attempts.path-trials");
        context.log("upstreams", "Lost paths to a service are tried again.", "service", pending.service);
        return true;
    }
}
