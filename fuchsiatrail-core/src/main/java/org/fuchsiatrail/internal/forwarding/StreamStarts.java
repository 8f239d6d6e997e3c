package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.internal.load.EngineModel;

/** Records what the first event of an attempt's stream tells of its upstream. */
final class StreamStarts {

    /** How many times the tokens of which the cache is not known must fit into those that are certainly read. */
    private static final long KNOWN_PART = 2;

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
            if (pending.route.describesPrompt() && pending.placement != null && pending.upstream.model.tellsPace()) {
                observe(pending, inFlightAttempt);
            }
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

    /** Compares the time to the first event with the predicted one, and learns from it how fast the upstream is. */
    private void observe(PendingCall pending, UpstreamState.InFlightAttempt attempt) {
        UpstreamPlacement.Placement placement = pending.placement;
        long millis = context.now() - attempt.sentAtMillis;
        context.emit(new ForwardingOutput.Measure(
                "first-event.prediction-error", Math.abs(millis - Math.round(attempt.predictedMillis))));
        double unknownTokens = placement.unknownSharedTokens();
        EngineModel model = pending.upstream.model;
        boolean known = unknownTokens * KNOWN_PART <= placement.ownTokens();
        double readTokens = placement.ownTokens() + unknownTokens / 2;
        if (known && attempt.foundLittleWork) {
            model.observeFirstEvent(context.now(), readTokens, millis);
        } else if (known) {
            model.observeQueuedFirstEvent(context.now(), attempt.tokensAhead + readTokens, millis);
        } else if (attempt.foundLittleWork) {
            model.observeUnknownPrompt(context.now(), placement.ownTokens(), millis);
        }
    }
}
