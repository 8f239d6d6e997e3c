package org.fuchsiatrail.wire.peer;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.wire.WireMapper;

/** Writes and reads peer messages as MessagePack. */
public final class PeerCodec {

    private static final ObjectMapper MAPPER = WireMapper.messagePack();

    private PeerCodec() {}

    /**
     * Writes a message.
     *
     * @param message the message
     * @return its bytes
     */
    public static byte[] write(PeerMessage message) {
        try {
            return MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a message.
     *
     * @param bytes its bytes
     * @return the message
     * @throws MalformedPeerMessageException when the bytes are no message
     */
    public static PeerMessage read(byte[] bytes) throws MalformedPeerMessageException {
        try {
            PeerMessage message = MAPPER.readValue(bytes, PeerMessage.class);
            if (message == null) {
                throw new MalformedPeerMessageException("The frame holds nothing.", null);
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new MalformedPeerMessageException("The frame is no peer message: " + e.getMessage(), e);
        }
    }
}
