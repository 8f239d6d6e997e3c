package org.fuchsiatrail.wire.peer;

/** Thrown when a frame from a peer cannot be decoded as a message. */
public final class MalformedPeerMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong with the frame
     * @param cause the exception of the decoder, or null
     */
    public MalformedPeerMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
