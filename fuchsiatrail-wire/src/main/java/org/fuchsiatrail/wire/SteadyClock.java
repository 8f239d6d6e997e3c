package org.fuchsiatrail.wire;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fuchsiatrail.Clock;

/**
 * A monotonic clock: reads the wall clock once at creation and then advances with a monotonic counter.
 *
 * <p>Decisions need a time that never goes back, whereas the wall clock of a machine may jump by seconds.
 */
public final class SteadyClock implements Clock {

    private final long startMillis;
    private final long startNanos;
    private final LongSupplier nanoTime;

    /**
     * Creates a clock that starts at the current time of the wall clock.
     *
     * @param wallClock the wall clock, read once
     * @param nanoTime a monotonic counter of nanoseconds with an arbitrary origin
     */
    public SteadyClock(Clock wallClock, LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.startMillis = wallClock.nowMillis();
        this.startNanos = nanoTime.getAsLong();
    }

    /**
     * Creates a clock from the wall clock (UTC) and the monotonic counter of this machine.
     *
     * @return the clock
     */
    public static SteadyClock ofThisMachine() {
        return new SteadyClock(java.time.Clock.systemUTC()::millis, com.codahale.metrics.Clock.defaultClock()::getTick);
    }

    @Override
    public long nowMillis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - startNanos);
    }
}
