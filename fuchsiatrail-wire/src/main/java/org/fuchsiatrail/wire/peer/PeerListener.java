package org.fuchsiatrail.wire.peer;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;

/** Takes messages from peers; called on a network thread. */
@FunctionalInterface
public interface PeerListener {

    /**
     * Takes a message.
     *
     * @param from the peer, which has proved that it holds the shared secret
     * @param message the message
     */
    void receive(EntryVmId from, PeerMessage message);
}
