package org.fuchsiatrail.wire.peer;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code IP:port}. */
public final class Addresses {

    private static final int MAXIMUM_PORT = 65_535;

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
        int port = Integer.parseInt(address.substring(separator + 1));
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("The port of '" + address + "' must be from 0 to " + MAXIMUM_PORT + ".");
        }
        return new HostAndPort(address.substring(0, separator), port);
    }

    /**
     * Returns whether an address can be parsed.
     *
     * @param address any text
     * @return whether it has the form {@code IP:port}
     */
    public static boolean isValid(String address) {
        try {
            return parse(address).port() > 0;
        } catch (IllegalArgumentException e) {
            return false;
        }
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
