package org.fuchsiatrail.wire;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SteadyClockTest {

    @Test
    void should_run_on_steadily_when_the_time_of_day_jumps_back() {
        AtomicLong timeOfDay = new AtomicLong(50_000);
        AtomicLong nanos = new AtomicLong(7);
        SteadyClock clock = new SteadyClock(timeOfDay::get, nanos::get);
        assertThat(clock.nowMillis()).isEqualTo(50_000);
        timeOfDay.set(20_000);
        nanos.addAndGet(1_500_000_000L);
        assertThat(clock.nowMillis()).isEqualTo(51_500);
    }
}
