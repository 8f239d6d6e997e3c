package org.fuchsiatrail;

/** The only source of time for all code outside the core. */
@FunctionalInterface
public interface Clock {

    /**
     * Returns the milliseconds since the epoch.
     *
     * @return milliseconds; they decrease only when the machine's clock is corrected
     */
    long nowMillis();
}
