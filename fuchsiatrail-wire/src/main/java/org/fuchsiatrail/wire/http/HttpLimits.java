package org.fuchsiatrail.wire.http;

/**
 * The sizes that a listener accepts, and the times that it grants.
 *
 * @param bodyBytes the largest body
 * @param headerBytes the largest sum of headers
 * @param headerTimeoutMillis the longest time for the head of a request, in milliseconds
 * @param idleTimeoutMillis the longest time without a byte of a request, in milliseconds
 */
public record HttpLimits(int bodyBytes, int headerBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Time for the head of a request where nobody configures it, in milliseconds. */
    public static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000;

    /** Time without a byte where nobody configures it, in milliseconds. */
    public static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;

    /**
     * Returns limits with the default times.
     *
     * @param bodyBytes the largest body
     * @param headerBytes the largest sum of headers
     * @return the limits
     */
    public static HttpLimits ofSizes(int bodyBytes, int headerBytes) {
        return new HttpLimits(bodyBytes, headerBytes, DEFAULT_HEADER_TIMEOUT_MILLIS, DEFAULT_IDLE_TIMEOUT_MILLIS);
    }

    /**
     * Returns limits for a port that only the project's own programs use.
     *
     * @return generous limits
     */
    public static HttpLimits internal() {
        return ofSizes(32 * 1024 * 1024, 64 * 1024);
    }
}
