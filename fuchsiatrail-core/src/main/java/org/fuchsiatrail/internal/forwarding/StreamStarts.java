package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.ForwardingOutput;

/** Records what the first event of an attempt's stream tells of its upstream. */
final class StreamStarts {

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final UpstreamTable upstreams;
    private final PeerGossip gossip;
    private final StreamBindings bindings;

    StreamStarts(
            ForwardingContext context,
            StoreReplica storeReplica,
            UpstreamTable upstreams,
            PeerGossip gossip,
            StreamBindings bindings) {
        this.context = context;
        this.storeReplica = storeReplica;
        this.upstreams = upstreams;
        this.gossip = gossip;
        this.bindings = bindings;
    }

    /** Records that the current attempt of a request has begun its stream: its prompt is in the upstream's cache. */
    void record(PendingCall pending) {
        UpstreamState.InFlightAttempt inFlightAttempt = pending.upstream.inFlight.get(pending.attempt);
        if (inFlightAttempt != null) {
            context.emit(new ForwardingOutput.Measure("first-event", context.now() - inFlightAttempt.sentAtMillis));
            inFlightAttempt.promptTokens = 0;
            inFlightAttempt.streamBegun = true;
        }
        if (pending.placement != null && pending.route.describesPrompt()) {
            long capacityTokens = storeReplica.memoryTokens(pending.service);
            PromptChain chain = pending.placement.chain();
            chain.shared().forEach(link -> gossip.sharedParts().add(link.key()));
            gossip.recordPrefilledParts(
                    pending.upstream.id(),
                    pending.upstream.cache.recordPrefill(chain.shared(), capacityTokens, context.now()));
        }
        upstreams.recordSuccess(pending.upstream);
        bindings.recordOrigin(pending);
    }
}
