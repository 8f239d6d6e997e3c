package org.fuchsiatrail.wire.http;

/**
 * Size limits and timeouts that an HTTP listener applies to requests.
 *
 * @param bodyBytes the maximum size of a body, in bytes
 * @param headerBytes the maximum total size of the headers, in bytes
 * @param headerTimeoutMillis the timeout for receiving the head of a request, in milliseconds
 * @param idleTimeoutMillis the timeout of a connection on which no bytes arrive, in milliseconds
 */
public record HttpLimits(int bodyBytes, int headerBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The default timeout for receiving the head of a request, in milliseconds. */
    public static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000;

    /** The default idle timeout of a connection, in milliseconds. */
    public static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;

    /**
     * Returns limits with the default timeouts.
     *
     * @param bodyBytes the maximum size of a body, in bytes
     * @param headerBytes the maximum total size of the headers, in bytes
     * @return the limits
     */
    public static HttpLimits ofSizes(int bodyBytes, int headerBytes) {
        return new HttpLimits(bodyBytes, headerBytes, DEFAULT_HEADER_TIMEOUT_MILLIS, DEFAULT_IDLE_TIMEOUT_MILLIS);
    }

    /**
     * Returns limits for a port that does not serve callers.
     *
     * @return limits that are larger than for callers, with the default timeouts
     */
    public static HttpLimits internal() {
        return ofSizes(32 * 1024 * 1024, 64 * 1024);
    }
}
