package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.UpstreamId;

/**
 * An attempt of a begun stream that shows no progress and stays in flight until another attempt has begun to continue
 * the stream.
 *
 * @param attempt its id
 * @param upstream its upstream
 * @param incarnation the incarnation of the upstream to which it was sent
 * @param placement where it was placed
 * @param softwareVersion the software version of the upstream when it was sent
 * @param relayed whether it goes to another router
 * @param executionsAtRisk how many executions it may lead to
 * @param state the progress of the request with this attempt
 * @param firstEventAtMillis when its first event arrived, in milliseconds
 * @param lastEventAtMillis when its last event arrived, in milliseconds
 */
record HeldAttempt(
        AttemptId attempt,
        UpstreamState upstream,
        UpstreamId incarnation,
        UpstreamPlacement.Placement placement,
        String softwareVersion,
        boolean relayed,
        int executionsAtRisk,
        PendingCall.State state,
        long firstEventAtMillis,
        long lastEventAtMillis) {

    static HeldAttempt of(PendingCall pending) {
        return new HeldAttempt(
                pending.attempt,
                pending.upstream,
                pending.incarnation,
                pending.placement,
                pending.attemptVersion,
                pending.relayed,
                pending.executionsAtRisk,
                pending.state,
                pending.firstEventAtMillis,
                pending.lastEventAtMillis);
    }

    /** Makes this the current attempt of its request. */
    void restoreTo(PendingCall pending) {
        pending.attempt = attempt;
        pending.upstream = upstream;
        pending.incarnation = incarnation;
        pending.placement = placement;
        pending.attemptVersion = softwareVersion;
        pending.relayed = relayed;
        pending.executionsAtRisk = executionsAtRisk;
        pending.state = state;
        pending.firstEventAtMillis = firstEventAtMillis;
        pending.lastEventAtMillis = lastEventAtMillis;
    }
}
