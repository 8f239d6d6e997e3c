package org.fuchsiatrail.wire.peer;

import java.net.InetSocketAddress;

/** Reads addresses of the form {@code IP:port}. */
public final class Addresses {

    private Addresses() {}

    /**
     * An address in parts.
     *
     * @param host the IP number
     * @param port the port
     */
    public record Parsed(String host, int port) {}

    /**
     * Reads an address.
     *
     * @param address {@code IP:port}
     * @return its parts
     * @throws IllegalArgumentException when there is no port
     */
    public static Parsed parse(String address) {
        int separator = address.lastIndexOf(':');
        if (separator <= 0) {
            throw new IllegalArgumentException("'" + address + "' is not IP:port.");
        }
        return new Parsed(address.substring(0, separator), Integer.parseInt(address.substring(separator + 1)));
    }

    /**
     * Reads an address to listen on or connect to.
     *
     * @param address {@code IP:port}
     * @return the socket address
     */
    public static InetSocketAddress socket(String address) {
        Parsed parsed = parse(address);
        return new InetSocketAddress(parsed.host(), parsed.port());
    }
}
