package org.fuchsiatrail.wire.forwarding;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;

/** Tells why a connection could not be made. */
public final class ConnectionFailures {

    private static final String REFUSED = "Connection refused";

    private ConnectionFailures() {}

    /**
     * Returns whether the other machine refused the connection; a connection that times out is not refused.
     *
     * @param failure the failure of an HTTP exchange
     * @return whether no process listens at the address
     */
    public static boolean isRefused(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectTimeoutException) {
                return false;
            }
            if (cause instanceof ConnectException
                    && String.valueOf(cause.getMessage()).contains(REFUSED)) {
                return true;
            }
        }
        return false;
    }
}
