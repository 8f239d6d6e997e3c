package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RoutingTable;

/** Writes one line for each decision that touches a request, with its inputs and outcome, and counts it. */
final class CallLog {

    private static final String PART = "calls";

    private final ForwardingContext context;
    private final StoreReplica known;

    CallLog(ForwardingContext context, StoreReplica known) {
        this.context = context;
        this.known = known;
    }

    private long configuration() {
        return known.routing().map(RoutingTable::version).orElse(0L);
    }

    void sent(CallRow row, Dispatch terms, long remaining) {
        context.count(row.sends == 1 ? "attempts.first" : "attempts.repeated");
        context.log(
                PART,
                "Sent.",
                "request",
                row.call.callerAttemptId(),
                "route",
                row.route.name(),
                "upstream",
                row.upstream.id(),
                "send",
                row.sends,
                "predictedMillis",
                Math.round(row.choice.predictedMillis()),
                "uncachedTokens",
                row.choice.uncachedTokens(),
                "fetchFrom",
                terms.fetchFrom().orElse(""),
                "running",
                row.upstream.running(context.now()),
                "remainingMillis",
                remaining,
                "weights",
                terms.weightsVersion().orElse(0),
                "configuration",
                configuration());
    }

    void failedByUpstream(CallRow row, AttemptEvent.Head head) {
        context.log(
                PART,
                "Upstream failed it.",
                "request",
                row.call.callerAttemptId(),
                "upstream",
                row.upstream.id(),
                "status",
                head.status());
    }

    void notRun(CallRow row, AttemptEvent.Head head) {
        context.count("attempts.not-run");
        context.log(
                PART,
                "Not run by upstream.",
                "request",
                row.call.callerAttemptId(),
                "upstream",
                row.upstream.id(),
                "status",
                head.status(),
                "send",
                row.sends);
    }

    void lost(CallRow row, AttemptEvent.Lost lost, boolean delivering) {
        context.count(lost.sent() ? "attempts.lost" : "attempts.not-sent");
        context.log(
                PART,
                "Attempt lost.",
                "request",
                row.call.callerAttemptId(),
                "upstream",
                row.upstream.id(),
                "sent",
                lost.sent(),
                "reason",
                lost.reason(),
                "delivering",
                delivering);
    }

    void refused(CallRow row, ResultCode code, long retryAfterMillis, String reason) {
        context.count("refusals." + code.number());
        context.log(
                PART,
                "Refused.",
                "request",
                row.call.callerAttemptId(),
                "route",
                row.route.name(),
                "code",
                code.number(),
                "reason",
                reason,
                "sends",
                row.sends,
                "runs",
                row.runs,
                "heldMillis",
                context.now() - row.arrivedAtMillis,
                "retryAfterMillis",
                retryAfterMillis);
    }

    void refused(ForwardedCall call, ResultCode code) {
        context.count("refusals." + code.number());
        context.log(
                PART,
                "Refused.",
                "request",
                call.callerAttemptId(),
                "host",
                call.host(),
                "path",
                call.path(),
                "code",
                code.number(),
                "configuration",
                configuration());
    }

    void ended(CallRow row, String sentence, int status) {
        long millis = context.now() - row.arrivedAtMillis;
        context.emit(new ForwardingOutput.Measure("requests." + row.route.kind(), millis));
        context.log(
                PART,
                sentence,
                "request",
                row.call.callerAttemptId(),
                "status",
                status,
                "millis",
                millis,
                "sends",
                row.sends);
    }
}
