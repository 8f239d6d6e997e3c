package org.fuchsiatrail.wire.forwarding;

import java.util.function.Consumer;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreReply;

/** Sends calls to the platform's store, each at most once. */
public interface StoreGateway {

    /**
     * Sends a call.
     *
     * @param call the call
     * @param timeoutMillis the timeout of the call, in milliseconds
     * @param listener receives the reply, exactly once, on the event loop
     */
    void call(StoreCall call, long timeoutMillis, Consumer<StoreReply> listener);

    /**
     * Parses an item of the store that a peer relayed.
     *
     * @param item the item as stored
     * @return the item with its parsed content
     */
    StoreItem parseItem(PeerMessage.RelayedItem item);
}
