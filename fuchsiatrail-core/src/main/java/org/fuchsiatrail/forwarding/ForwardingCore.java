package org.fuchsiatrail.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * The decision logic of a router that forwards opaque calls. It has no threads, sockets or clock of its own.
 *
 * <p>Not thread-safe: all calls must come from one thread, with a time that never decreases.
 */
public interface ForwardingCore {

    /**
     * Handles inputs and due timers.
     *
     * @param nowMillis the time of a monotonic clock, in milliseconds
     * @param inputs the inputs since the last tick, in order
     * @return the actions to perform, in order
     */
    List<ForwardingOutput> tick(long nowMillis, List<ForwardingInput> inputs);

    /**
     * Returns when the next tick is due if no input is received before.
     *
     * @return a time in milliseconds
     */
    long nextDueMillis();

    /**
     * Returns whether the router accepts new connections.
     *
     * @return false before a configuration is in force and during a graceful shutdown
     */
    boolean ready();

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before one is received
     */
    Optional<RoutingTable> routing();

    /**
     * Returns whether a graceful shutdown has started.
     *
     * @return true once a stop was requested
     */
    boolean stopping();
}
