package org.fuchsiatrail.standins.drive;

import java.util.PriorityQueue;

/** A time that moves in steps, and what is due at each. */
final class VirtualTime {

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private long nowMillis;
    private long serial;

    VirtualTime(long startMillis) {
        nowMillis = startMillis;
    }

    private record Due(long atMillis, long serial, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(serial, other.serial);
        }
    }

    long now() {
        return nowMillis;
    }

    void after(long delayMillis, Runnable action) {
        queue.add(new Due(nowMillis + delayMillis, serial++, action));
    }

    void step() {
        nowMillis++;
        while (!queue.isEmpty() && queue.peek().atMillis() <= nowMillis) {
            queue.poll().action().run();
        }
    }
}
