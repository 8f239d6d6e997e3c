package org.fuchsiatrail.internal.forwarding;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The timers of accepted requests. A request has one effective timer, the earliest that was scheduled; when it is due,
 * the next one has to be scheduled.
 */
final class CallTimers {

    private final ForwardingContext context;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::atMillis));

    private record Timer(long atMillis, PendingCall pending) {}

    CallTimers(ForwardingContext context) {
        this.context = context;
    }

    /** Schedules a timer for a request unless an earlier one exists, which will schedule the next when it is due. */
    void schedule(PendingCall pending, long atMillis) {
        if (atMillis < pending.timerAtMillis) {
            pending.timerAtMillis = atMillis;
            timers.add(new Timer(atMillis, pending));
            context.wakeAt(atMillis);
        }
    }

    /** Schedules the timer of a request that is next due after the current time, unless the request is finished. */
    void scheduleNext(PendingCall pending) {
        if (pending.state != PendingCall.State.FINISHED) {
            schedule(
                    pending,
                    Math.max(context.now() + 1, Math.min(pending.attemptTimeoutAtMillis, pending.deadlineAtMillis)));
        }
    }

    /** Removes and returns a request that is not finished and whose timer is due, if there is one. */
    Optional<PendingCall> pollDue() {
        while (!timers.isEmpty() && timers.peek().atMillis() <= context.now()) {
            Timer timer = timers.poll();
            PendingCall pending = timer.pending();
            boolean replaced = timer.atMillis() != pending.timerAtMillis;
            if (pending.state != PendingCall.State.FINISHED && !replaced) {
                pending.timerAtMillis = Long.MAX_VALUE;
                context.beginWorkOn(pending.request);
                return Optional.of(pending);
            }
        }
        return Optional.empty();
    }
}
