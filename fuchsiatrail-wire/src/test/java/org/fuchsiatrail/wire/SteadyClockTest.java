package org.fuchsiatrail.wire;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a clock that follows corrections of the wall clock: a time that goes back would make timers and
 * deadlines of the core wrong.
 */
class SteadyClockTest {

    @Test
    void should_advance_by_the_elapsed_time_when_the_wall_clock_jumps_back() {
        AtomicLong wallClock = new AtomicLong(50_000);
        AtomicLong nanoTime = new AtomicLong(7);
        SteadyClock clock = new SteadyClock(wallClock::get, nanoTime::get);
        assertThat(clock.nowMillis()).isEqualTo(50_000);
        wallClock.set(20_000);
        nanoTime.addAndGet(1_500_000_000L);
        assertThat(clock.nowMillis()).isEqualTo(51_500);
    }
}
