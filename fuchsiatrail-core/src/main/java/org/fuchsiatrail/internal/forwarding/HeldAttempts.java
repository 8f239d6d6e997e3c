package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;

/**
 * Keeps the silent attempt of a begun stream in flight until another attempt has begun to continue the stream.
 *
 * <p>Whether a further attempt succeeds is known only once it has begun: it may be refused, its connection may break,
 * or its upstream may be silent too. The attempt that brings the next event goes on, and the other one is cancelled.
 */
final class HeldAttempts {

    /** Interval at which a held attempt is to be replaced again after that was not possible, in milliseconds. */
    private static final long REPLACEMENT_INTERVAL_MILLIS = 250;

    private final ForwardingContext context;
    private final UpstreamTable upstreams;
    private final CrashProtection crashProtection;
    private final CallTable calls;
    private final CallTimers timers;
    private final CallLog log;
    /** The replacements that were cancelled and of which nothing was heard since, with their requests. */
    private final Map<AttemptId, CancelledReplacement> cancelledReplacements = new HashMap<>();

    /** A cancelled replacement, which counts as so many executions. */
    private record CancelledReplacement(PendingCall pending, int executionsAtRisk) {}

    HeldAttempts(
            ForwardingContext context,
            UpstreamTable upstreams,
            CrashProtection crashProtection,
            CallTable calls,
            CallTimers timers,
            CallLog log) {
        this.context = context;
        this.upstreams = upstreams;
        this.crashProtection = crashProtection;
        this.calls = calls;
        this.timers = timers;
        this.log = log;
    }

    /** Holds the current attempt of a begun stream, which then has none, and counts it as possibly executed. */
    void hold(PendingCall pending) {
        log.held(pending);
        if (!pending.attempt.equals(pending.silentAttempt)) {
            pending.silentAttempt = pending.attempt;
            recordFailure(pending.upstream, DeclaredLosses.NO_PROGRESS.reason());
            crashProtection.recordGivenUp(pending);
        }
        pending.held = Optional.of(HeldAttempt.of(pending));
        pending.excludedUpstreams.add(pending.upstream.id());
        pending.recordExecution();
        pending.previousOutcome = "held";
        pending.attempt = null;
        pending.attemptTimeoutAtMillis = Long.MAX_VALUE;
    }

    /**
     * Makes a held attempt the current one again and cancels the one that was to replace it; returns whether there was
     * a held one.
     */
    boolean restore(PendingCall pending, String reason) {
        if (pending.held.isEmpty()) {
            return false;
        }
        if (calls.hasAttemptInFlight(pending)) {
            calls.releaseAttempt(pending);
            context.emit(new ForwardingOutput.Cancel(pending.attempt));
            pending.recordExecution();
            cancelledReplacements.put(pending.attempt, new CancelledReplacement(pending, pending.executionsAtRisk));
        }
        pending.held.get().restoreTo(pending);
        pending.held = Optional.empty();
        pending.possibleExecutions -= pending.executionsAtRisk;
        pending.upstream.recordResumability(pending);
        pending.pathLost = false;
        pending.placeFound = false;
        log.kept(pending, reason);
        pending.keptReason = reason;
        watch(pending);
        return true;
    }

    private void watch(PendingCall pending) {
        if (pending.mayBeReplaced()) {
            pending.attemptTimeoutAtMillis = context.now() + REPLACEMENT_INTERVAL_MILLIS;
            timers.schedule(pending, pending.attemptTimeoutAtMillis);
        }
    }

    /** Gives a held attempt up, if there is one, because another one has begun or the request ends. */
    void giveUp(PendingCall pending) {
        pending.held.ifPresent(held -> release(pending, held, DeclaredLosses.NO_PROGRESS.reason()));
    }

    /**
     * Handles an event of a held attempt. Returns whether that is all, since the attempt is lost and its replacement
     * may still begin; otherwise the attempt is the current one again, and the event is to be handled as usual.
     */
    boolean handleEvent(PendingCall pending, AttemptEvent event) {
        return switch (event) {
            case AttemptEvent.Lost lost -> {
                boolean eventsSince =
                        !lost.lastEventId().isEmpty() && !lost.lastEventId().equals(pending.lastEventId);
                // The replacement would repeat events that were passed on since it was sent.
                yield eventsSince ? !restore(pending, lost.reason()) : lose(pending, lost.reason());
            }
            case AttemptEvent.Mismatched mismatched -> lose(pending, DeclaredLosses.MISMATCHED.reason());
            case AttemptEvent.Answered answered -> !goOn(pending);
            case AttemptEvent.Started started -> !goOn(pending);
            case AttemptEvent.Progressed progressed -> !goOn(pending);
            case AttemptEvent.Finished finished -> !goOn(pending);
        };
    }

    private boolean goOn(PendingCall pending) {
        boolean held = restore(pending, "the attempt goes on");
        upstreams.recordSuccess(pending.upstream);
        crashProtection.recordGoingOn(pending);
        return held;
    }

    private boolean lose(PendingCall pending, String reason) {
        pending.held.ifPresent(held -> {
            held.upstream().recordContact(context.now());
            recordFailure(held.upstream(), reason);
            release(pending, held, reason);
            crashProtection.recordLost(pending, held);
            pending.placementDeadlineMillis = context.now() + CallTiming.RESUME_TIMEOUT_MILLIS;
        });
        return true;
    }

    /** Records that the incarnation of a held attempt's upstream has ended. */
    void upstreamEnded(PendingCall pending, UpstreamId incarnation) {
        pending.held
                .filter(held -> held.incarnation().equals(incarnation))
                .ifPresent(held -> crashProtection.recordGivenUp(pending, held));
    }

    /** Handles an event of an attempt that has ended: a replacement that was never sent has not run. */
    void recordLateEvent(AttemptId attempt, AttemptEvent event) {
        CancelledReplacement cancelled = cancelledReplacements.remove(attempt);
        if (cancelled != null && event instanceof AttemptEvent.Lost lost && !lost.sent()) {
            PendingCall pending = cancelled.pending();
            pending.possibleExecutions -= cancelled.executionsAtRisk();
            pending.upstream.recordResumability(pending);
        }
    }

    /** Forgets a request that ends. */
    void close(PendingCall pending) {
        giveUp(pending);
        cancelledReplacements.values().removeIf(cancelled -> cancelled.pending() == pending);
    }

    private void release(PendingCall pending, HeldAttempt held, String reason) {
        log.heldLost(pending, held, reason);
        calls.releaseHeld(pending);
        pending.held = Optional.empty();
        context.emit(new ForwardingOutput.Cancel(held.attempt()));
    }

    private void recordFailure(UpstreamState upstream, String reason) {
        if (!upstream.isSwitchingWeights(context.now())) {
            upstreams.recordFailure(upstream, reason);
        }
    }
}
