package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.AttemptEvent;

/** Records what upstreams report of themselves in the heads of their answers. */
final class AnswerHeads {

    private final ForwardingContext context;
    private final RequestLimits requestLimits;
    private final LeavingUpstreams leavingUpstreams;

    AnswerHeads(ForwardingContext context, RequestLimits requestLimits, LeavingUpstreams leavingUpstreams) {
        this.context = context;
        this.requestLimits = requestLimits;
        this.leavingUpstreams = leavingUpstreams;
    }

    /** Records the head of an answer; that of a relayed request concerns an upstream that this router does not know. */
    void record(PendingCall pending, AttemptEvent.Head head) {
        if (pending.relayed) {
            return;
        }
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
            if (head.leaving()) {
                leavingUpstreams.observe(pending.incarnation);
            }
        }
    }
}
