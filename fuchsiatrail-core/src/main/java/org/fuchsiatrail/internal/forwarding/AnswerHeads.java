package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.AttemptEvent;

/** Records what upstreams report of themselves in the heads of their answers. */
final class AnswerHeads {

    private final ForwardingContext context;
    private final RequestLimits requestLimits;
    private final UpstreamTable upstreams;
    private final RequestedPauses pauses;
    private final LeavingUpstreams leavingUpstreams;

    AnswerHeads(ForwardingContext context, RequestLimits requestLimits, UpstreamTable upstreams) {
        this.context = context;
        this.requestLimits = requestLimits;
        this.upstreams = upstreams;
        this.pauses = upstreams.pauses();
        this.leavingUpstreams = upstreams.leaving();
    }

    /** Records the head of an answer; that of a relayed request concerns an upstream that this router does not know. */
    void record(PendingCall pending, AttemptEvent.Head head) {
        pending.ranAt = head.ranAt();
        if (pending.relayed) {
            return;
        }
        context.domainTraffic().answered(pending, head);
        head.load().ifPresent(load -> {
            pending.upstream.load = load;
            pending.upstream.loadAtMillis = context.now();
        });
        if (pending.route.describesPrompt() && head.weightsVersion().isPresent()) {
            pending.upstream.recordWeightVersion(
                    pending.call.model(), head.weightsVersion().getAsLong());
        }
        if (head.status() != CallTiming.MISDIRECTED_STATUS) {
            requestLimits.observe(pending.upstream, head.requestLimit());
            head.requestedPause()
                    .ifPresentOrElse(
                            pause -> pauses.observe(pending.incarnation, pause),
                            () -> pauses.accepted(pending.incarnation));
            if (head.leaving()) {
                leavingUpstreams.observe(pending.incarnation);
            }
        }
    }

    /**
     * Records that an upstream is not the expected incarnation or has other weights. Engines are probed then, since
     * others may have changed too.
     */
    void recordMisdirected(PendingCall pending, AttemptEvent.Head head) {
        boolean weightsReported =
                pending.route.describesPrompt() && head.weightsVersion().isPresent();
        if (!weightsReported) {
            pending.excludedUpstreams.add(pending.upstream.id());
        }
        if (pending.route.describesPrompt()) {
            upstreams.probeOutdated(pending.upstream, pending.call.model(), !weightsReported);
        }
    }
}
