package org.fuchsiatrail.standins.server;

import org.fuchsiatrail.Clock;

/** Provides the system clock. */
public final class SystemTime {

    /** The system clock, in milliseconds since the epoch. */
    public static final Clock CLOCK = java.time.Clock.systemUTC()::millis;

    private SystemTime() {}
}
