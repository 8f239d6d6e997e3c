package org.fuchsiatrail;

import java.util.List;

/**
 * The decisions of one router, without threads, sockets or a clock of their own.
 *
 * <p>Calls must come from one thread at a time, with a time that never decreases.
 */
public interface RouterCore {

    /** The longest time between two ticks, in milliseconds. */
    long LONGEST_TICK_GAP_MILLIS = 10;

    /**
     * Takes what happened and returns what to do.
     *
     * @param nowMillis the time, in milliseconds
     * @param inputs what happened since the last tick, in order
     * @return what to do, in order
     */
    List<Output> tick(long nowMillis, List<Input> inputs);

    /**
     * Tells whether the router takes new work.
     *
     * @return false before a configuration is in force and once a stop was asked
     */
    boolean ready();
}
