package org.fuchsiatrail.wire.peer;

import org.fuchsiatrail.PeerMessage;

/** Encodes and merges messages, once for several recipients in a row. */
final class UpdateEncoder {

    private PeerMessage lastMessage;
    private byte[] lastBytes;
    private PeerMessage lastOlder;
    private PeerMessage lastNewer;
    private PeerUpdateBound.Bounded lastMerged;

    synchronized byte[] encode(PeerMessage message) {
        if (message != lastMessage) {
            lastMessage = message;
            lastBytes = PeerCodec.encode(message);
        }
        return lastBytes;
    }

    /**
     * Merges two updates within the bounds.
     *
     * @param older the update that was to be sent first
     * @param waitedMillis how long it has waited when the newer one was to be sent, in milliseconds
     * @param newer the update that was to be sent after it
     */
    synchronized PeerUpdateBound.Bounded merge(
            PeerMessage.ForwardingNews older, long waitedMillis, PeerMessage.ForwardingNews newer) {
        if (older != lastOlder || newer != lastNewer) {
            lastOlder = older;
            lastNewer = newer;
            lastMerged =
                    PeerUpdateBound.apply(PeerUpdateMerge.merge(PeerUpdateAge.afterWait(older, waitedMillis), newer));
        }
        return lastMerged;
    }
}
