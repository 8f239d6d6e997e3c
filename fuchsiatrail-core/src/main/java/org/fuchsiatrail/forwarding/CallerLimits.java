package org.fuchsiatrail.forwarding;

/**
 * What callers may send, and how long they may take.
 *
 * @param headerBytes the largest sum of a request's headers
 * @param bodyBytes the largest body
 * @param headerTimeoutMillis the longest time for the headers of a request, in milliseconds
 * @param idleTimeoutMillis the longest time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** What holds before a configuration is known. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
