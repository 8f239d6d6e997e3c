package org.fuchsiatrail.wire.peer;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code IP:port}. */
public final class Addresses {

    private Addresses() {}

    /**
     * A parsed address.
     *
     * @param host the IP address
     * @param port the port
     */
    public record HostAndPort(String host, int port) {}

    /**
     * Parses an address.
     *
     * @param address an address of the form {@code IP:port}
     * @return the IP address and the port
     * @throws IllegalArgumentException if the address does not have this form
     */
    public static HostAndPort parse(String address) {
        int separator = address.lastIndexOf(':');
        if (separator <= 0) {
            throw new IllegalArgumentException("'" + address + "' must have the form IP:port.");
        }
        return new HostAndPort(address.substring(0, separator), Integer.parseInt(address.substring(separator + 1)));
    }

    /**
     * Parses an address into a socket address.
     *
     * @param address an address of the form {@code IP:port}
     * @return the socket address
     * @throws IllegalArgumentException if the address does not have this form
     */
    public static InetSocketAddress toSocketAddress(String address) {
        HostAndPort parsed = parse(address);
        return new InetSocketAddress(parsed.host(), parsed.port());
    }
}
