package org.fuchsiatrail.wire.client;

import java.util.ArrayDeque;
import java.util.Queue;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CancellationsTest {

    private final Cancellations cancellations = new Cancellations();
    private final Queue<Runnable> running = new ArrayDeque<>();

    @Test
    void should_send_all_cancellations_but_few_at_once() {
        int sent = 0;
        for (int number = 0; number < 10 * Cancellations.MAXIMUM_RUNNING; number++) {
            cancellations.add(running::add);
        }
        while (!running.isEmpty()) {
            assertThat(running).hasSizeLessThanOrEqualTo(Cancellations.MAXIMUM_RUNNING);
            running.remove().run();
            sent++;
        }
        assertThat(sent).isEqualTo(10 * Cancellations.MAXIMUM_RUNNING);
    }

    @Test
    void should_drop_the_oldest_when_too_many_wait() {
        int sent = 0;
        for (int number = 0; number < 2 * Cancellations.MAXIMUM_WAITING; number++) {
            cancellations.add(running::add);
        }
        while (!running.isEmpty()) {
            running.remove().run();
            sent++;
        }
        assertThat(sent).isEqualTo(Cancellations.MAXIMUM_WAITING + Cancellations.MAXIMUM_RUNNING);
    }
}
