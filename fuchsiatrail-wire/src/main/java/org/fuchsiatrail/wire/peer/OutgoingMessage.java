package org.fuchsiatrail.wire.peer;

import org.fuchsiatrail.PeerMessage;

/**
 * An encoded message on its way to a peer.
 *
 * @param update the message if it is a pure update, which is sent later if its connection breaks; otherwise null
 * @param bytes the encoded message
 * @param sinceMillis when the first part of it was to be sent, in milliseconds
 * @param asOfMillis the time for which its content is correct, in milliseconds
 */
record OutgoingMessage(PeerMessage.ForwardingNews update, byte[] bytes, long sinceMillis, long asOfMillis) {

    /** Returns a message that is to be sent now. */
    static OutgoingMessage of(PeerMessage message, byte[] bytes, long nowMillis) {
        PeerMessage.ForwardingNews pureUpdate =
                message instanceof PeerMessage.ForwardingNews update && PeerUpdateMerge.isPureUpdate(update)
                        ? update
                        : null;
        return new OutgoingMessage(pureUpdate, bytes, nowMillis, nowMillis);
    }

    boolean isPureUpdate() {
        return update != null;
    }
}
