package org.fuchsiatrail;

/** Tells the time in milliseconds; the only source of time for everything outside the core. */
@FunctionalInterface
public interface Clock {

    /**
     * Returns the milliseconds since the epoch.
     *
     * @return milliseconds, never decreasing by more than a clock correction of the machine
     */
    long nowMillis();
}
