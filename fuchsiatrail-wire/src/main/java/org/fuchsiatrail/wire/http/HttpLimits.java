package org.fuchsiatrail.wire.http;

/**
 * The sizes that a listener accepts.
 *
 * @param bodyBytes the largest body
 * @param headerBytes the largest sum of headers
 */
public record HttpLimits(int bodyBytes, int headerBytes) {

    /**
     * Returns limits for a port that only the project's own programs use.
     *
     * @return generous limits
     */
    public static HttpLimits internal() {
        return new HttpLimits(32 * 1024 * 1024, 64 * 1024);
    }
}
