package org.fuchsiatrail.forwarding;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;

/** An event outside the forwarding core that {@link ForwardingCore#tick} has to handle. */
public sealed interface ForwardingInput {

    /**
     * A caller's request was received completely.
     *
     * @param request the id of the new request
     * @param call the properties of the request
     */
    record CallReceived(RequestId request, ForwardedCall call) implements ForwardingInput {}

    /**
     * A caller closed its connection before its answer was complete.
     *
     * @param request the caller's request
     */
    record CallerDisconnected(RequestId request) implements ForwardingInput {}

    /**
     * An upstream, or the connection to it, produced an event of an attempt.
     *
     * @param attempt the attempt
     * @param event the event
     */
    record AttemptEventReceived(AttemptId attempt, AttemptEvent event) implements ForwardingInput {}

    /**
     * The platform's store replied, or the call to it failed.
     *
     * @param call the number of the call that this answers
     * @param reply the reply
     * @param era the era of the store that the reply names, or {@link StoreReply#UNKNOWN_ERA}
     */
    record StoreAnswered(long call, StoreReply reply, long era) implements ForwardingInput {

        /**
         * Creates a reply that names no era, or the failure of a call.
         *
         * @param call the number of the call that this answers
         * @param reply the reply
         */
        public StoreAnswered(long call, StoreReply reply) {
            this(call, reply, StoreReply.UNKNOWN_ERA);
        }
    }

    /**
     * An engine replied to an order or to a state query.
     *
     * @param engine the engine
     * @param reply the reply
     */
    record OrderAnswered(UpstreamId engine, OrderReply reply) implements ForwardingInput {}

    /**
     * An engine or a KV cache store replied with cache events or a cache snapshot.
     *
     * @param holder the engine or KV cache store
     * @param reply the reply
     */
    record CacheEventsReceived(UpstreamId holder, CacheEventsReply reply) implements ForwardingInput {}

    /**
     * A peer update was received.
     *
     * @param from the peer that sent it
     * @param message the update; its store items arrive parsed, as {@link StoreItemRelayed}
     */
    record PeerMessageReceived(EntryVmId from, PeerMessage.ForwardingNews message) implements ForwardingInput {}

    /**
     * A peer relayed an item of the platform's store.
     *
     * @param item the item
     * @param era the era of the store to which the item's revision belongs, or {@link StoreReply#UNKNOWN_ERA}
     */
    record StoreItemRelayed(StoreItem item, long era) implements ForwardingInput {

        /**
         * Creates a relayed item without an era.
         *
         * @param item the item
         */
        public StoreItemRelayed(StoreItem item) {
            this(item, StoreReply.UNKNOWN_ERA);
        }
    }

    /**
     * The wall clock jumped against the steady clock: it was changed, or the process was suspended while the steady
     * clock stood still.
     *
     * @param millis how far the wall clock moved ahead, in milliseconds; negative when it moved back
     */
    record ClockJumped(long millis) implements ForwardingInput {}

    /** The process was requested to shut down gracefully. */
    record StopRequested() implements ForwardingInput {}
}
