package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.RequestKind;

/** Decides which attempts of this router are given up because they show no progress, and what that says. */
final class SilentStreams {

    /** Interval at which a silent attempt is looked at again, in milliseconds. */
    static final long CHECK_INTERVAL_MILLIS = 50;

    private final ForwardingContext context;
    private final UpstreamTable upstreams;
    private final UpstreamSelector selector;
    private final RelayRouters relayRouters;
    private final RetryBudgets retryBudgets;
    private final CrashProtection crashProtection;
    private final CallTiming timing;
    private final CallLog log;
    private final Map<String, Silence> silenceByService = new HashMap<>();
    private long silenceAtMillis = Long.MIN_VALUE;

    /** How many upstreams of a service have begun streams, and how many of them are silent. */
    private record Silence(int streaming, int silent) {}

    SilentStreams(
            ForwardingContext context,
            UpstreamTable upstreams,
            UpstreamSelector selector,
            RelayRouters relayRouters,
            RetryBudgets retryBudgets,
            CrashProtection crashProtection,
            CallTiming timing,
            CallLog log) {
        this.context = context;
        this.upstreams = upstreams;
        this.selector = selector;
        this.relayRouters = relayRouters;
        this.retryBudgets = retryBudgets;
        this.crashProtection = crashProtection;
        this.timing = timing;
        this.log = log;
    }

    /** Returns whether an attempt that shows no progress is to be given up. */
    boolean giveUp(PendingCall pending) {
        boolean streaming = pending.state == PendingCall.State.DELIVERING && !pending.relayed;
        return streaming
                ? giveUpStream(pending)
                : pending.sends < CallTiming.MAXIMUM_SENDS
                        && retryBudgets.mayRetry(pending.service)
                        && selector.hasAlternative(pending);
    }

    /** The same for a stream that an upstream has begun; one that stays is looked at again after an interval. */
    private boolean giveUpStream(PendingCall pending) {
        return switch (SilentStreamDecision.decide(situation(pending))) {
            case SilentStreamDecision.ContinueElsewhere elsewhere -> {
                pending.placeFound = selector.hasRespondingPlaceElsewhere(pending);
                yield true;
            }
            case SilentStreamDecision.ContinueThroughRouter throughRouter -> {
                pending.pathLost = true;
                yield true;
            }
            case SilentStreamDecision.Keep keep -> {
                pending.attemptTimeoutAtMillis = context.now() + CHECK_INTERVAL_MILLIS;
                if (!keep.reason().equals(pending.keptReason)) {
                    pending.keptReason = keep.reason();
                    log.kept(pending, keep.reason());
                }
                yield false;
            }
        };
    }

    private SilentStreamDecision.Situation situation(PendingCall pending) {
        boolean registered = context.now() < pending.upstream.removalAtMillis;
        Silence silence = registered ? silence(pending.service) : new Silence(0, 0);
        return new SilentStreamDecision.Situation(
                context.now() - pending.lastEventAtMillis,
                silence.streaming(),
                silence.silent(),
                () -> registered ? silentAlike(pending) : 0,
                pending.sends < CallTiming.MAXIMUM_SENDS
                        && crashProtection.quarantine(pending).isEmpty(),
                retryBudgets.mayRetry(pending.service),
                () -> selector.hasPlaceElsewhere(pending),
                () -> !pending.call.relayed()
                        && pending.relayRefusals < CallTiming.MAXIMUM_RELAY_REFUSALS
                        && relayRouters.select(pending).isPresent());
    }

    /** Many streams are looked at in one tick when their upstreams are silent, so the counts are kept for the tick. */
    private Silence silence(String service) {
        if (silenceAtMillis != context.now()) {
            silenceByService.clear();
            silenceAtMillis = context.now();
        }
        return silenceByService.computeIfAbsent(service, this::countSilence);
    }

    private Silence countSilence(String service) {
        int streaming = 0;
        int silent = 0;
        for (UpstreamState upstream : upstreams.activeUpstreams(service)) {
            if (upstream.hasBegunStream()) {
                streaming++;
                silent += upstream.isSilent(context.now()) ? 1 : 0;
            }
        }
        return new Silence(streaming, silent);
    }

    /** Counts the upstreams that were silent for most of the time for which the stream is. */
    private int silentAlike(PendingCall pending) {
        long silentMillis = context.now() - pending.lastEventAtMillis;
        int alike = 0;
        for (UpstreamState upstream : upstreams.activeUpstreams(pending.service)) {
            boolean silent = 2 * upstream.silentMillisSince(pending.lastEventAtMillis, context.now()) > silentMillis;
            alike += silent && upstream.hasBegunStream() ? 1 : 0;
        }
        return alike;
    }

    /**
     * Returns whether an attempt in flight is a call that is given up although its upstream has left calls unanswered
     * for a short time only.
     */
    boolean isShortSilence(PendingCall pending, AttemptEvent.Lost lost) {
        boolean ownCall = !pending.relayed && pending.route.kind() != RequestKind.STREAM;
        if (!ownCall || lost != DeclaredLosses.NO_PROGRESS) {
            return false;
        }
        long silentMillis = pending.upstream.recordUnanswered(pending.attempt, context.now());
        return silentMillis < timing.unresponsiveMillis(pending);
    }

    /**
     * Records a failure of an upstream. A short silence starts its backoff, but does not show that the path to it is
     * lost.
     */
    void recordFailure(UpstreamState upstream, String reason, boolean shortSilence) {
        long previousFailureAtMillis = upstream.lastFailureAtMillis;
        upstreams.recordFailure(upstream, reason);
        if (shortSilence) {
            upstream.lastFailureAtMillis = previousFailureAtMillis;
        }
    }
}
