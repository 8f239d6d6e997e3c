package org.fuchsiatrail.wire.peer;

/** Says that a frame from a peer could not be read. */
public final class MalformedPeerMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what was wrong
     * @param cause the codec's own complaint, or null
     */
    public MalformedPeerMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
