package org.fuchsiatrail.internal.forwarding;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.internal.locality.DomainChoice;
import org.fuchsiatrail.internal.locality.DomainLeaving;
import org.fuchsiatrail.internal.locality.LeavingResult;

/** Decides for this router's requests whether they leave its failure domain, and tells how many did and why. */
final class DomainTraffic {

    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** Bytes of a prompt for each token: four letters of most languages. */
    private static final long BYTES_PER_TOKEN = 4;

    /** Bytes of a stream for each event, which carries one token in its own lines. */
    private static final long BYTES_PER_EVENT = 200;

    private final ForwardingContext context;
    private final FailureDomain ownDomain;
    private final DomainLeaving leaving;
    private final Map<String, Integer> leftSinceLog = new TreeMap<>();
    private int sentSinceLog;
    private long loggedAtMillis = Long.MIN_VALUE / 2;

    DomainTraffic(ForwardingContext context, ForwardingSettings settings) {
        this.context = context;
        this.ownDomain = settings.self().failureDomain();
        // The draws are not taken from the shared generator, so that other choices stay the same.
        this.leaving = new DomainLeaving(
                ownDomain,
                settings.leavesDomainByGain(),
                settings.leavesDomainPerSecond(),
                new SplittableRandom(settings.seed()).split());
    }

    /** Begins the choice of a place for a request; the news is direct if all routers hear each other. */
    DomainChoice<UpstreamPlacement.Placement> choose(PendingCall pending, boolean directNews) {
        return leaving.choose(new DomainLeaving.Request(
                pending.service,
                pending.route.latencyTargetMillis(),
                transferredBytes(pending.call),
                pending.call.resumesStream() || pending.streamBegun,
                directNews,
                context.now()));
    }

    private static double transferredBytes(ForwardedCall call) {
        return call.inputTokens() * BYTES_PER_TOKEN + call.maximumOutputTokens() * BYTES_PER_EVENT;
    }

    /** Records that a peer's message told the work of its failure domain. */
    void heard(FailureDomain domain) {
        leaving.news().heard(domain, context.now());
    }

    /** Records the time of the first event or the answer of the current attempt of a request. */
    void answered(PendingCall pending, AttemptEvent.Head head) {
        UpstreamState.InFlightAttempt attempt = pending.upstream.inFlight.get(pending.attempt);
        if (attempt != null && head.verified() && !head.notExecuted() && head.status() < 400) {
            leaving.ways()
                    .record(
                            pending.upstream.domain(),
                            context.now() - attempt.sentAtMillis,
                            attempt.predictedMillis,
                            context.now());
        }
    }

    /** Records that a request was sent to an upstream as decided last. */
    void sent(PendingCall pending) {
        FailureDomain domain = pending.upstream.domain();
        sentSinceLog++;
        if (!pending.relayed && !domain.equals(ownDomain)) {
            String reason = leaving.lastResult()
                    .map(LeavingResult::reason)
                    .map(LeavingResult.Reason::text)
                    .orElse("fixed-cost");
            if (!reason.equals(LeavingResult.Reason.NO_UPSTREAM.text())) {
                leaving.recordLeft(context.now());
            }
            // Counts requests sent to another failure domain, by reason and by domain.
            context.count("domains.left." + reason);
            context.count("domains.left-to." + domain.value());
            leftSinceLog.merge(domain.value() + " " + reason, 1, Integer::sum);
            logOnceASecond(pending.service);
        }
    }

    private void logOnceASecond(String service) {
        if (context.now() < loggedAtMillis + LOG_INTERVAL_MILLIS) {
            return;
        }
        context.log(
                "domains",
                "Requests left the failure domain.",
                "left",
                leftSinceLog.toString(),
                "sent",
                sentSinceLog,
                "service",
                service,
                "share",
                Math.round(leaving.share(service, context.now()) * 100) / 100.0);
        leftSinceLog.clear();
        sentSinceLog = 0;
        loggedAtMillis = context.now();
    }
}
