package org.fuchsiatrail.wire.peer;

/**
 * The times within which a connection between routers that went silent is noticed. All of them are parts or multiples
 * of one time.
 *
 * <p>Connections are checked at a fixed interval. A check sends a probe if anything was sent since the last one; a
 * connection whose probe stays unanswered for several checks is given up. So the loss of a message is noticed at most
 * two thirds of the contact time after it was sent. Intervals are counted, not measured, as a router that was paused
 * or lacks processor time must not take its own delay for the silence of others.
 *
 * @param contactMillis the time within which routers that can reach each other are to be in contact, in milliseconds
 */
public record LivenessTimeouts(long contactMillis) {

    /** The timeouts for the usual contact time. */
    public static final LivenessTimeouts DEFAULTS = new LivenessTimeouts(3_000);

    private static final int UNANSWERED_CHECKS = 3;

    /** How often the number of checks is doubled at most. */
    private static final int MAXIMUM_DOUBLINGS = 3;

    /** The number of checks after which a connection on which nothing is sent is probed. */
    static final int IDLE_CHECKS = 60;

    /** The number of idle checks after which an accepted connection is closed whose peer has set up another one. */
    static final int REPLACED_CHECKS = 6;

    private static final int CHECKS_PER_CONTACT = 6;

    /**
     * Checks the contact time.
     *
     * @throws IllegalArgumentException if the contact time is not positive
     */
    public LivenessTimeouts {
        if (contactMillis <= 0) {
            throw new IllegalArgumentException("the contact time must be positive, but is " + contactMillis + " ms");
        }
    }

    /**
     * Returns the number of checks without an answer after which a connection is given up. It grows from the third
     * silent connection in a row on, so that a peer which only answers late is not connected to again and again.
     *
     * @param silentInRow the connections to the peer that were given up before, since it answered in time
     */
    static int unansweredChecks(int silentInRow) {
        return UNANSWERED_CHECKS << Math.clamp(silentInRow - 1, 0, MAXIMUM_DOUBLINGS);
    }

    /** Returns the interval at which connections are checked, in milliseconds. */
    long checkIntervalMillis() {
        return Math.max(1, contactMillis / CHECKS_PER_CONTACT);
    }

    /** Returns the time in which a connection has to be set up, with its handshake, in milliseconds. */
    long handshakeMillis() {
        return contactMillis / 2;
    }

    /** Returns the idle time after which the kernel probes a connection, in seconds; for peers of older builds. */
    int keepAliveIdleSeconds() {
        return (int) Math.ceilDiv(2 * IDLE_CHECKS * checkIntervalMillis(), 1_000);
    }

    /** Returns the interval between probes of the kernel, in seconds. */
    int keepAliveIntervalSeconds() {
        return (int) Math.ceilDiv(contactMillis, 1_000);
    }
}
