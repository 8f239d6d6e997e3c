package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RequestKind;

/** Sends requests to the upstreams on which they were placed. */
final class AttemptSender {

    private final ForwardingContext context;
    private final CallTable calls;
    private final CallTimers timers;
    private final CallTiming timing;
    private final UpstreamAvailability availability;
    private final DarkSights darkSights;
    private final CrashProtection crashProtection;
    private final CallLog log;

    AttemptSender(
            ForwardingContext context,
            CallTable calls,
            CallTimers timers,
            CallTiming timing,
            UpstreamAvailability availability,
            DarkSights darkSights,
            CrashProtection crashProtection,
            CallLog log) {
        this.context = context;
        this.calls = calls;
        this.timers = timers;
        this.timing = timing;
        this.availability = availability;
        this.darkSights = darkSights;
        this.crashProtection = crashProtection;
        this.log = log;
    }

    /** Begins an attempt of a request at an upstream. */
    void send(PendingCall pending, UpstreamPlacement.Placement placement, long remainingMillis) {
        UpstreamState upstream = placement.upstream();
        pending.state = PendingCall.State.SENT;
        pending.placement = placement;
        pending.upstream = upstream;
        pending.incarnation = upstream.incarnationId();
        pending.attemptVersion = upstream.entry.softwareVersion();
        pending.sends++;
        pending.ranAt = Optional.empty();
        pending.keptReason = "";
        pending.pathLost = false;
        pending.firstEventAtMillis = context.now();
        pending.lastEventAtMillis = context.now();
        pending.attemptTimeoutAtMillis = pending.mayBeReplaced()
                ? context.now() + timing.attemptTimeoutMillis(pending)
                : darkSights.firstLookAtMillis(pending);
        calls.beginAttempt(pending);
        availability.recordSend(upstream);
        context.domainTraffic().sent(pending);
        if (pending.attemptTimeoutAtMillis < pending.deadlineAtMillis) {
            timers.schedule(pending, pending.attemptTimeoutAtMillis);
        }
        Dispatch dispatch = Dispatches.of(pending, remainingMillis);
        log.sent(pending, dispatch, remainingMillis, crashProtection.knownCrashes(pending));
        context.emit(new ForwardingOutput.Send(
                pending.attempt, pending.request, pending.route.kind() == RequestKind.STREAM, dispatch));
    }
}
