package org.fuchsiatrail.standins.drive;

import java.util.PriorityQueue;

/** A virtual clock that advances by one millisecond per step and runs the actions scheduled for that time. */
final class VirtualTime {

    private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>();
    private long nowMillis;
    private long nextSequence;

    VirtualTime(long startMillis) {
        nowMillis = startMillis;
    }

    private record ScheduledAction(long atMillis, long sequence, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    long now() {
        return nowMillis;
    }

    void schedule(long delayMillis, Runnable action) {
        actions.add(new ScheduledAction(nowMillis + delayMillis, nextSequence++, action));
    }

    void advance() {
        nowMillis++;
        while (!actions.isEmpty() && actions.peek().atMillis() <= nowMillis) {
            actions.poll().action().run();
        }
    }
}
