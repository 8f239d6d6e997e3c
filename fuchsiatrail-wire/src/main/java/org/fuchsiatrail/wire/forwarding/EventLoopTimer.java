package org.fuchsiatrail.wire.forwarding;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.netty.util.TimerTask;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A timer without a thread of its own: it schedules its tasks on an event loop, which wakes up only when one is due.
 */
final class EventLoopTimer implements Timer {

    private final EventLoop loop;

    EventLoopTimer(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public Timeout newTimeout(TimerTask task, long delay, TimeUnit unit) {
        ScheduledTimeout timeout = new ScheduledTimeout(task);
        timeout.future = loop.schedule(
                () -> {
                    task.run(timeout);
                    return null;
                },
                delay,
                unit);
        return timeout;
    }

    @Override
    public Set<Timeout> stop() {
        return Set.of();
    }

    private final class ScheduledTimeout implements Timeout {
        private final TimerTask task;
        private ScheduledFuture<?> future;

        ScheduledTimeout(TimerTask task) {
            this.task = task;
        }

        @Override
        public Timer timer() {
            return EventLoopTimer.this;
        }

        @Override
        public TimerTask task() {
            return task;
        }

        @Override
        public boolean isExpired() {
            return future.isDone();
        }

        @Override
        public boolean isCancelled() {
            return future.isCancelled();
        }

        @Override
        public boolean cancel() {
            return future.cancel(false);
        }
    }
}
