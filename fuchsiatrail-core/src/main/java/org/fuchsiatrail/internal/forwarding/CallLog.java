package org.fuchsiatrail.internal.forwarding;

import java.util.stream.Collectors;

import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RequestedPause;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.internal.limits.LimitDecision;

/** Logs each decision about a request with its inputs and outcome, and updates the counters. */
final class CallLog {

    private static final String COMPONENT = "calls";

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final OverLimitLog overLimit;

    CallLog(ForwardingContext context, StoreReplica storeReplica) {
        this.context = context;
        this.storeReplica = storeReplica;
        this.overLimit = new OverLimitLog(context);
    }

    private long configurationVersion() {
        return storeReplica.routing().map(RoutingTable::version).orElse(0L);
    }

    void sent(PendingCall pending, Dispatch dispatch, long remainingMillis, int knownCrashes) {
        context.count(pending.sends == 1 ? "attempts.first" : "attempts.repeated");
        context.log(
                COMPONENT,
                "Attempt sent.",
                "request",
                pending.call.callerAttemptId(),
                "route",
                pending.route.name(),
                "upstream",
                pending.upstream.id(),
                "send",
                pending.sends,
                "after",
                pending.previousOutcome,
                "runs",
                pending.possibleExecutions,
                "runsAllowed",
                pending.maximumExecutions,
                "attemptsLeft",
                pending.attemptsLeft - pending.possibleExecutions,
                "allowedBy",
                allowedBy(pending),
                "relayed",
                pending.call.relayed(),
                "fingerprint",
                Long.toHexString(pending.fingerprint),
                "sharedParts",
                sharedPartIds(pending.call),
                "knownCrashes",
                knownCrashes,
                "predictedMillis",
                Math.round(pending.placement.predictedMillis()),
                "uncachedTokens",
                pending.placement.uncachedTokens(),
                "fetchFrom",
                dispatch.fetchFrom().orElse(""),
                "running",
                pending.upstream.running(context.now()),
                "remainingMillis",
                remainingMillis,
                "weights",
                dispatch.weightsVersion().orElse(0),
                "softwareVersion",
                pending.upstream.entry.softwareVersion(),
                "resumes",
                pending.call.resumedAttemptId(),
                "lastEvent",
                dispatch.resumeAfterEventId(),
                "configuration",
                configurationVersion());
    }

    private static String allowedBy(PendingCall pending) {
        return pending.call
                .relay()
                .map(allowance -> allowance.told() ? "relaying router" : "relaying router of an older build")
                .orElse("route");
    }

    private static String sharedPartIds(ForwardedCall call) {
        return call.sharedParts().stream().map(ForwardedCall.PromptPart::id).collect(Collectors.joining(" "));
    }

    void bound(PendingCall pending, String source) {
        context.count("streams.bound");
        context.log(
                COMPONENT,
                "Resumed stream bound to the software version that began it.",
                "request",
                pending.call.callerAttemptId(),
                "resumes",
                pending.call.resumedAttemptId(),
                "softwareVersion",
                pending.streamVersion.orElse(""),
                "service",
                pending.service,
                "source",
                source,
                "heldMillis",
                context.now() - pending.receivedAtMillis);
    }

    void failedByUpstream(PendingCall pending, AttemptEvent.Head head) {
        context.log(
                COMPONENT,
                "Upstream answered with a server error; retrying elsewhere.",
                "request",
                pending.call.callerAttemptId(),
                "upstream",
                pending.upstream.id(),
                "status",
                head.status());
    }

    void overLimit(ForwardedCall call, CustomerEntry customer, LimitDecision.Refused decision) {
        overLimit.refused(call, customer, decision, configurationVersion());
    }

    void notExecuted(PendingCall pending, AttemptEvent.Head head) {
        context.count("attempts.not-run");
        context.log(
                COMPONENT,
                "Upstream did not execute the request.",
                "request",
                pending.call.callerAttemptId(),
                "upstream",
                pending.upstream.id(),
                "status",
                head.status(),
                "retryAfter",
                head.requestedPause().map(RequestedPause::text).orElse(""),
                "send",
                pending.sends);
    }

    void mismatched(PendingCall pending, AttemptEvent.Mismatched mismatched) {
        // Counts answers that belong to another request than the one that was sent.
        context.count("answers.mismatched");
        context.log(
                COMPONENT,
                "Answer to another request received; connection closed.",
                "request",
                pending.call.callerAttemptId(),
                "upstream",
                pending.upstream.id(),
                "answered",
                mismatched.answeredAttemptId(),
                "send",
                pending.sends);
    }

    void lost(PendingCall pending, AttemptEvent.Lost lost, boolean delivering) {
        context.count(lost.sent() ? "attempts.lost" : "attempts.not-sent");
        context.log(
                COMPONENT,
                "Attempt lost.",
                "request",
                pending.call.callerAttemptId(),
                "fingerprint",
                Long.toHexString(pending.fingerprint),
                "upstream",
                pending.upstream.id(),
                "sent",
                lost.sent(),
                "reason",
                lost.reason(),
                "send",
                pending.sends,
                "relayed",
                pending.call.relayed(),
                "delivering",
                delivering);
    }

    void lostAtRouter(PendingCall pending, UpstreamId upstream) {
        // Counts attempts of relayed requests that other routers report as lost.
        context.count("attempts.lost-at-router");
        context.log(
                COMPONENT,
                "Attempt lost at another router.",
                "request",
                pending.call.callerAttemptId(),
                "router",
                pending.upstream.id(),
                "upstream",
                upstream,
                "send",
                pending.sends);
    }

    void held(PendingCall pending) {
        // Counts silent attempts that stay in flight until another attempt has begun.
        context.count("attempts.held");
        context.log(
                COMPONENT,
                "Silent attempt held until another one has begun.",
                "request",
                pending.call.callerAttemptId(),
                "upstream",
                pending.upstream.id(),
                "silentMillis",
                context.now() - pending.lastEventAtMillis,
                "send",
                pending.sends);
    }

    void heldLost(PendingCall pending, HeldAttempt held, String reason) {
        context.count("attempts.lost");
        context.log(
                COMPONENT,
                "Held attempt lost.",
                "request",
                pending.call.callerAttemptId(),
                "fingerprint",
                Long.toHexString(pending.fingerprint),
                "upstream",
                held.upstream().id(),
                "silentMillis",
                context.now() - held.lastEventAtMillis(),
                "reason",
                reason);
    }

    void kept(PendingCall pending, String reason) {
        // Counts silent attempts that were kept, once for each reason.
        context.count("attempts.kept-silent");
        context.log(
                COMPONENT,
                "Silent attempt kept.",
                "request",
                pending.call.callerAttemptId(),
                "upstream",
                pending.upstream.id(),
                "silentMillis",
                context.now() - pending.lastEventAtMillis,
                "reason",
                reason);
    }

    void abandoned(PendingCall pending, String reason) {
        // Counts attempts that were ended while their callers could still ask again.
        context.count("attempts.abandoned");
        context.log(
                COMPONENT,
                "Silent attempt ended.",
                "request",
                pending.call.callerAttemptId(),
                "upstream",
                pending.upstream.id(),
                "silentMillis",
                context.now() - pending.lastEventAtMillis,
                "millisLeft",
                pending.deadlineAtMillis - context.now(),
                "reason",
                reason);
    }

    void refused(PendingCall pending, ResultCode code, long retryAfterMillis, String reason) {
        context.count("refusals." + code.number());
        if (pending.streamBegun) {
            context.count("streams.broken-off");
        }
        context.log(
                COMPONENT,
                "Request refused.",
                "request",
                pending.call.callerAttemptId(),
                "route",
                pending.route.name(),
                "streamBegun",
                pending.streamBegun,
                "code",
                code.number(),
                "reason",
                reason,
                "sends",
                pending.sends,
                "runs",
                pending.possibleExecutions,
                "heldMillis",
                context.now() - pending.receivedAtMillis,
                "retryAfterMillis",
                retryAfterMillis);
    }

    void refused(ForwardedCall call, ResultCode code) {
        context.count("refusals." + code.number());
        context.log(
                COMPONENT,
                "Request refused.",
                "request",
                call.callerAttemptId(),
                "host",
                call.host(),
                "path",
                call.path(),
                "code",
                code.number(),
                "configuration",
                configurationVersion());
    }

    void ended(PendingCall pending, String message, int status) {
        long elapsedMillis = context.now() - pending.receivedAtMillis;
        context.emit(new ForwardingOutput.Measure("requests." + pending.route.kind(), elapsedMillis));
        context.log(
                COMPONENT,
                message,
                "request",
                pending.call.callerAttemptId(),
                "status",
                status,
                "millis",
                elapsedMillis,
                "sends",
                pending.sends,
                "upstream",
                pending.upstream == null ? "" : pending.upstream.id(),
                "silentMillis",
                pending.upstream == null ? 0 : context.now() - pending.lastEventAtMillis,
                "remainingMillis",
                pending.deadlineAtMillis - context.now());
    }

    void repeatedId(ForwardedCall call) {
        // Counts requests whose id an earlier request had, which is still open or ended lately.
        context.count("requests.repeated-id");
        context.log(
                COMPONENT,
                "Request has the id of an earlier one.",
                "request",
                call.callerAttemptId(),
                "path",
                call.path());
    }
}
