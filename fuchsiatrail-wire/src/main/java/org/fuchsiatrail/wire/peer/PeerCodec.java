package org.fuchsiatrail.wire.peer;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.wire.WireMapper;

/** Encodes and decodes peer messages as MessagePack. */
public final class PeerCodec {

    private static final ObjectMapper MAPPER = WireMapper.messagePack();

    private PeerCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message, without a length prefix
     */
    public static byte[] encode(PeerMessage message) {
        try {
            return MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the encoded message, without a length prefix
     * @return the message
     * @throws MalformedPeerMessageException if the bytes are not a valid message
     */
    public static PeerMessage decode(byte[] bytes) throws MalformedPeerMessageException {
        try {
            PeerMessage message = MAPPER.readValue(bytes, PeerMessage.class);
            if (message == null) {
                throw new MalformedPeerMessageException(
                        "The frame must contain a peer message, but contains null.", null);
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new MalformedPeerMessageException("The frame is not a valid peer message: " + e.getMessage(), e);
        }
    }
}
