package org.fuchsiatrail.forwarding;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;

/** What happened outside the forwarding core. */
public sealed interface ForwardingInput {

    /**
     * A caller's request arrived whole.
     *
     * @param request the new request
     * @param call what it asks
     */
    record CallReceived(RequestId request, ForwardedCall call) implements ForwardingInput {}

    /**
     * A caller closed its connection before it had its answer.
     *
     * @param request its request
     */
    record CallerDisconnected(RequestId request) implements ForwardingInput {}

    /**
     * An upstream did something with a request.
     *
     * @param attempt the attempt
     * @param event what it did
     */
    record AttemptEventReceived(AttemptId attempt, AttemptEvent event) implements ForwardingInput {}

    /**
     * The platform's store answered.
     *
     * @param call the number of the call
     * @param reply the answer
     */
    record StoreAnswered(long call, StoreReply reply) implements ForwardingInput {}

    /**
     * An engine answered an order or a question.
     *
     * @param engine the engine
     * @param reply the answer
     */
    record OrderAnswered(UpstreamId engine, OrderReply reply) implements ForwardingInput {}

    /**
     * An engine or a store of kept KV cache told what changed in its cache.
     *
     * @param holder the engine or store
     * @param reply the answer
     */
    record CacheEventsReceived(UpstreamId holder, CacheEventsReply reply) implements ForwardingInput {}

    /**
     * A peer sent news.
     *
     * @param from the peer
     * @param message the news, with items already read
     */
    record PeerMessageReceived(EntryVmId from, PeerMessage.ForwardingNews message) implements ForwardingInput {}

    /**
     * An item of the store came by way of a peer.
     *
     * @param item the item
     */
    record StoreItemRelayed(StoreItem item) implements ForwardingInput {}

    /** The process did not run for a while, or the time of day jumped. */
    record ClockJumped() implements ForwardingInput {}

    /** The process was asked to stop. */
    record StopRequested() implements ForwardingInput {}
}
