package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against suspensions of the process that leave no trace in the log. */
class SuspensionsTest {

    private static final String MESSAGE = "Process continued after a time in which it did not run.";

    private final ForwardingFixture fixture =
            new ForwardingFixture().configured().start();

    @Test
    void should_log_a_time_in_which_the_process_did_not_run() {
        fixture.advanceTime(2_000);
        fixture.now += 4_000;
        fixture.tick();
        assertThat(fixture.all(ForwardingOutput.LogEvent.class))
                .filteredOn(event -> event.message().equals(MESSAGE))
                .singleElement()
                .satisfies(
                        event -> assertThat((long) event.fields().get("millis")).isBetween(4_000L, 4_600L));
    }

    @Test
    void should_log_no_suspension_while_the_process_ticks_at_its_usual_intervals() {
        fixture.advanceTime(30_000);
        assertThat(fixture.all(ForwardingOutput.LogEvent.class))
                .noneMatch(event -> event.message().equals(MESSAGE));
    }
}
