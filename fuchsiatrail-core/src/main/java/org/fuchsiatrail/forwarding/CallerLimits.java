package org.fuchsiatrail.forwarding;

/**
 * Size and time limits for callers' requests.
 *
 * @param headerBytes the maximum total size of a request's headers
 * @param bodyBytes the maximum size of a request's body
 * @param headerTimeoutMillis the maximum time to receive the headers of a request, in milliseconds
 * @param idleTimeoutMillis the maximum time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits that apply before a configuration is received. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
