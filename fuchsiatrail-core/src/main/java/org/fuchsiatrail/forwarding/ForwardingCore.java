package org.fuchsiatrail.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * The decisions of a router that forwards opaque calls, without threads, sockets or a clock of its own.
 *
 * <p>Calls must come from one thread, with a time that never decreases.
 */
public interface ForwardingCore {

    /**
     * Takes what happened and returns what to do.
     *
     * @param nowMillis the time of a clock that never goes back, in milliseconds
     * @param inputs what happened since the last tick, in order
     * @return what to do, in order
     */
    List<ForwardingOutput> tick(long nowMillis, List<ForwardingInput> inputs);

    /**
     * Tells when the next tick is due if nothing happens before.
     *
     * @return a time in milliseconds
     */
    long nextDueMillis();

    /**
     * Tells whether the router takes new connections.
     *
     * @return false before a configuration is in force and once a stop was asked
     */
    boolean ready();

    /**
     * Returns the configuration in force.
     *
     * @return nothing before one is known
     */
    Optional<RoutingTable> routing();

    /**
     * Tells whether a stop was asked.
     *
     * @return true from the stop on
     */
    boolean stopping();
}
