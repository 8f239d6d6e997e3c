package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.internal.paths.AbandonmentDecision;

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
    private final CallTable calls;
    private final CallTimers timers;
    private final DarkSights darkSights;
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
            CallLog log,
            CallTable calls,
            CallTimers timers,
            DarkSights darkSights) {
        this.context = context;
        this.calls = calls;
        this.timers = timers;
        this.darkSights = darkSights;
        this.upstreams = upstreams;
        this.selector = selector;
        this.relayRouters = relayRouters;
        this.retryBudgets = retryBudgets;
        this.crashProtection = crashProtection;
        this.timing = timing;
        this.log = log;
        darkSights.onDark(this::lookAtAttempts);
    }

    /** Records an event of a request's stream, and when its attempt is looked at next. */
    void recordEvent(PendingCall pending, String eventId) {
        pending.lastEventAtMillis = context.now();
        pending.recordEventId(eventId);
        pending.keptReason = "";
        pending.silentAttempt = null;
        if (pending.state == PendingCall.State.DELIVERING && pending.mayBeReplaced()) {
            pending.attemptTimeoutAtMillis = context.now() + CallTiming.STREAM_IDLE_TIMEOUT_MILLIS;
            timers.schedule(pending, pending.attemptTimeoutAtMillis);
        }
    }

    /** Returns whether an attempt that shows no progress is to be given up; a late look is repeated first. */
    boolean giveUp(PendingCall pending) {
        boolean late = context.now() - pending.attemptTimeoutAtMillis > CallTiming.LATE_TIMER_MILLIS;
        pending.attemptTimeoutAtMillis = Long.MAX_VALUE;
        if (late || context.uptimeMillis() < CallTiming.WARM_UP_MILLIS) {
            pending.attemptTimeoutAtMillis = context.now() + CallTiming.LATE_TIMER_EXTENSION_MILLIS;
            timers.schedule(pending, pending.attemptTimeoutAtMillis);
            return false;
        }
        return isInVain(pending);
    }

    private boolean isInVain(PendingCall pending) {
        boolean streaming = pending.state == PendingCall.State.DELIVERING && !pending.relayed;
        if (isEndedForCaller(pending)) {
            return giveUpForCaller(pending);
        }
        if (streaming) {
            return giveUpStream(pending);
        }
        boolean replaceable = pending.sends < CallTiming.MAXIMUM_SENDS
                && retryBudgets.mayRetry(pending.service)
                && selector.hasAlternative(pending);
        return replaceable || giveUpForCaller(pending);
    }

    /** Returns whether an attempt that is given up ends its request, since no other one may replace it. */
    private boolean isEndedForCaller(PendingCall pending) {
        return darkSights.areTold() && !pending.mayBeReplaced();
    }

    /** Returns whether the attempt that is given up is held until another one has begun. */
    boolean mayBeHeld(PendingCall pending) {
        return pending.state == PendingCall.State.DELIVERING && !isEndedForCaller(pending);
    }

    /** The same for an attempt that no other one replaces: whether its caller is to ask again. */
    private boolean giveUpForCaller(PendingCall pending) {
        if (!darkSights.areTold() || pending.relayed || !pending.mayBeAskedAgain()) {
            return false;
        }
        return switch (AbandonmentDecision.decide(darkSights.view(pending))) {
            case AbandonmentDecision.End end -> {
                log.abandoned(pending, end.reason());
                yield true;
            }
            case AbandonmentDecision.Keep keep -> {
                if (keep.probe()) {
                    darkSights.probe(pending.upstream);
                }
                pending.attemptTimeoutAtMillis = keep.lookAtMillis();
                yield false;
            }
        };
    }

    /** Records that a request could not be sent. */
    void recordUnsent(PendingCall pending, AttemptEvent.Lost lost) {
        if (!pending.relayed && !lost.connected() && !lost.refused()) {
            darkSights.connectionTimedOut(pending.upstream);
        }
    }

    /** Looks at once at the attempts in flight at an upstream that is dark. */
    private void lookAtAttempts(UpstreamState upstream) {
        for (PendingCall pending : calls.sent()) {
            boolean affected = calls.hasAttemptInFlight(pending) && pending.upstream == upstream;
            if (affected && (pending.mayBeReplaced() || pending.mayBeAskedAgain())) {
                pending.attemptTimeoutAtMillis = context.now();
                timers.schedule(pending, context.now());
            }
        }
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
     * Records a loss as a failure of its upstream, unless that switches weights, and excludes it. A short silence
     * starts its backoff, but does not show that the path to it is lost. A router that breaks a begun stream off is
     * only avoided, as the upstream of the stream may have ended.
     */
    void recordLoss(PendingCall pending, AttemptEvent.Lost lost, boolean shortSilence) {
        boolean brokenOff = pending.state == PendingCall.State.DELIVERING && !DeclaredLosses.includes(lost);
        if (pending.relayed && brokenOff) {
            pending.avoidedRouters.add(pending.upstream.id());
            return;
        }
        pending.excludedUpstreams.add(pending.upstream.id());
        recordFailure(pending.upstream, lost, shortSilence);
    }

    private void recordFailure(UpstreamState upstream, AttemptEvent.Lost lost, boolean shortSilence) {
        if (lost.sent() && upstream.isSwitchingWeights(context.now())) {
            return;
        }
        long previousFailureAtMillis = upstream.lastFailureAtMillis;
        upstreams.recordFailure(upstream, lost.reason());
        if (shortSilence) {
            upstream.lastFailureAtMillis = previousFailureAtMillis;
        }
    }
}
