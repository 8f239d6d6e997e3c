package org.fuchsiatrail;

import java.util.List;

/**
 * The decision logic of one router. It has no threads, sockets or clock of its own.
 *
 * <p>Not thread-safe: calls must come from one thread at a time, with a time that never decreases.
 */
public interface RouterCore {

    /** The maximum interval between two ticks, in milliseconds. */
    long MAXIMUM_TICK_INTERVAL_MILLIS = 10;

    /**
     * Handles inputs and due timers.
     *
     * @param nowMillis the current time, in milliseconds
     * @param inputs the inputs since the last tick, in order
     * @return the actions to perform, in order
     */
    List<Output> tick(long nowMillis, List<Input> inputs);

    /**
     * Returns whether the router accepts new requests.
     *
     * @return false before a configuration is in force and during a graceful shutdown
     */
    boolean ready();
}
