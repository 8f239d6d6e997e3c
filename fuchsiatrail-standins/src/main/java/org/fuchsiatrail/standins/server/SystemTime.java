package org.fuchsiatrail.standins.server;

import org.fuchsiatrail.Clock;

/** The machine's clock. */
public final class SystemTime {

    /** The machine's clock, in milliseconds. */
    public static final Clock CLOCK = java.time.Clock.systemUTC()::millis;

    private SystemTime() {}
}
