package org.fuchsiatrail.wire.peer;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;

/** Receives messages from peers. It is called on an event loop thread. */
@FunctionalInterface
public interface PeerListener {

    /**
     * Receives a message.
     *
     * @param from the peer that sent the message, authenticated by the handshake
     * @param message the message
     */
    void receive(EntryVmId from, PeerMessage message);
}
