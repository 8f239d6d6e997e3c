package org.fuchsiatrail.internal.forwarding;

import java.util.Collection;

import org.fuchsiatrail.FailureDomain;

/** What the latest attempts and probes of this router tell of its path to one upstream or other router. */
final class ConnectionHistory {

    /** The number of destinations whose timeouts show that the paths to all are lost. */
    private static final int TIMEOUTS_WHEN_LOST = 2;

    private long reachedSentAtMillis = Long.MIN_VALUE / 2;
    private long timedOutSentAtMillis = Long.MIN_VALUE / 2;
    private long timedOutAtMillis = Long.MIN_VALUE / 2;

    /**
     * Returns whether the paths to all of several destinations are probably lost: connections to two of them, or to the
     * only one, timed out, and none that began later brought a response. Timeouts in other failure domains alone do not
     * show it while there are destinations in the own one, which may be cut off from the others.
     */
    static boolean areLost(Collection<UpstreamState> destinations, FailureDomain ownDomain) {
        long reachedMillis = Long.MIN_VALUE / 2;
        for (UpstreamState destination : destinations) {
            reachedMillis = Math.max(reachedMillis, destination.connections.reachedSentAtMillis);
        }
        int timedOut = 0;
        boolean inOwnDomain = false;
        boolean timedOutInOwnDomain = false;
        for (UpstreamState destination : destinations) {
            boolean hasTimedOut = destination.connections.timedOutSentAtMillis > reachedMillis;
            boolean isInOwnDomain = destination.domain().equals(ownDomain);
            timedOut += hasTimedOut ? 1 : 0;
            inOwnDomain |= isInOwnDomain;
            timedOutInOwnDomain |= isInOwnDomain && hasTimedOut;
        }
        return timedOut > 0
                && timedOut >= Math.min(TIMEOUTS_WHEN_LOST, destinations.size())
                && (timedOutInOwnDomain || !inOwnDomain);
    }

    /** When a connection to any of several destinations last timed out, in milliseconds. */
    static long lastTimeoutAtMillis(Collection<UpstreamState> destinations) {
        return destinations.stream()
                .mapToLong(destination -> destination.connections.timedOutAtMillis)
                .max()
                .orElse(Long.MIN_VALUE / 2);
    }

    /** Records a response to what was sent at a time; returns whether none was to anything later. */
    boolean recordReached(long sentAtMillis) {
        boolean newer = sentAtMillis > reachedSentAtMillis;
        reachedSentAtMillis = Math.max(reachedSentAtMillis, sentAtMillis);
        return newer;
    }

    /** Records that no connection was established in time for what was to be sent at a time. */
    void recordTimeout(long sentAtMillis, long nowMillis) {
        timedOutSentAtMillis = Math.max(timedOutSentAtMillis, sentAtMillis);
        timedOutAtMillis = nowMillis;
    }

    /** When the latest that got a response was sent, in milliseconds. */
    long reachedSentAtMillis() {
        return reachedSentAtMillis;
    }

    /** When the latest was sent for which no connection was established in time, in milliseconds. */
    long timedOutSentAtMillis() {
        return timedOutSentAtMillis;
    }

    /** When a connection last timed out, in milliseconds. */
    long timedOutAtMillis() {
        return timedOutAtMillis;
    }
}
