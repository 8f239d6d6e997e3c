package org.fuchsiatrail.daemon;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiatrail.AttemptId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against attempts that stay registered for ever because they end before they are registered. */
class RunningAttemptsTest {

    private final RunningAttempts attempts = new RunningAttempts();

    @Test
    void should_forget_an_attempt_that_ends_while_it_is_being_started() {
        attempts.start(new AttemptId("a1"), onEnd -> {
            onEnd.run();
            return () -> {};
        });
        assertThat(attempts.size()).isZero();
    }

    @Test
    void should_forget_all_attempts_when_many_ends_race_with_starts() throws Exception {
        try (ExecutorService executor = Executors.newFixedThreadPool(2)) {
            for (int number = 0; number < 50_000; number++) {
                attempts.start(new AttemptId("a" + number), onEnd -> {
                    executor.execute(onEnd);
                    return () -> {};
                });
            }
            executor.shutdown();
            assertThat(executor.awaitTermination(20, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(attempts.size()).isZero();
    }

    @Test
    void should_abort_a_running_attempt_once() {
        AtomicInteger aborts = new AtomicInteger();
        attempts.start(new AttemptId("a1"), onEnd -> aborts::incrementAndGet);
        attempts.abort(new AttemptId("a1"));
        attempts.abort(new AttemptId("a1"));
        assertThat(aborts).hasValue(1);
    }
}
