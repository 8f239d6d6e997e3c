package org.fuchsiatrail.wire;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fuchsiatrail.Clock;

/**
 * A clock that starts at the time of day and then runs steadily, whatever happens to the time of day.
 *
 * <p>Decisions need a time that never goes back; the time of day of a machine may jump by seconds.
 */
public final class SteadyClock implements Clock {

    private final long startMillis;
    private final long startNanos;
    private final LongSupplier nanos;

    /**
     * Starts a clock.
     *
     * @param timeOfDay read once
     * @param nanos counts nanoseconds from any start, never backwards
     */
    public SteadyClock(Clock timeOfDay, LongSupplier nanos) {
        this.nanos = nanos;
        this.startMillis = timeOfDay.nowMillis();
        this.startNanos = nanos.getAsLong();
    }

    /**
     * Starts a clock on this machine.
     *
     * @return a clock
     */
    public static SteadyClock ofThisMachine() {
        return new SteadyClock(java.time.Clock.systemUTC()::millis, com.codahale.metrics.Clock.defaultClock()::getTick);
    }

    @Override
    public long nowMillis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() - startNanos);
    }
}
