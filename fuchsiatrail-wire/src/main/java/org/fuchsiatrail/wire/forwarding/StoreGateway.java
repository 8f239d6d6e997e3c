package org.fuchsiatrail.wire.forwarding;

import java.util.function.Consumer;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreReply;

/** Carries calls to the platform's store, each once. */
public interface StoreGateway {

    /**
     * Sends a call.
     *
     * @param call the call
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @param listener takes the answer, once, on the event loop
     */
    void call(StoreCall call, long timeoutMillis, Consumer<StoreReply> listener);

    /**
     * Reads an item that a peer passed on.
     *
     * @param item the item as it was written
     * @return the item as it reads
     */
    StoreItem read(PeerMessage.RelayedItem item);
}
