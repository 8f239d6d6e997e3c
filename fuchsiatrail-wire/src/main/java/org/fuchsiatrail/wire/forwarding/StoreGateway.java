package org.fuchsiatrail.wire.forwarding;

import java.util.function.Consumer;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreReply;

/** Sends calls to the platform's store, each at most once. */
public interface StoreGateway {

    /**
     * The answer to a call.
     *
     * @param reply the reply, or the failure of the call
     * @param era the era of the store that the reply names, or {@link StoreReply#UNKNOWN_ERA}
     */
    record Answer(StoreReply reply, long era) {

        /**
         * Creates an answer that names no era.
         *
         * @param reply the reply, or the failure of the call
         */
        public Answer(StoreReply reply) {
            this(reply, StoreReply.UNKNOWN_ERA);
        }
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @param timeoutMillis the timeout of the call, in milliseconds
     * @param listener receives the answer, exactly once, on the event loop
     */
    void call(StoreCall call, long timeoutMillis, Consumer<Answer> listener);

    /**
     * Parses an item of the store that a peer relayed.
     *
     * @param item the item as stored
     * @return the item with its parsed content
     */
    StoreItem parseItem(PeerMessage.RelayedItem item);
}
