package org.fuchsiatrail.wire.client;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** Bounds the cancellations that are sent at once, since each takes a connection when many callers leave together. */
final class Cancellations {

    /** The number of cancellations that are sent at once. */
    static final int MAXIMUM_RUNNING = 32;

    /** The number of cancellations that wait, above which the oldest is dropped; its engine works in vain. */
    static final int MAXIMUM_WAITING = 4_096;

    private final Queue<Consumer<Runnable>> waiting = new ArrayDeque<>();
    private int running;

    /**
     * Sends a cancellation now or later.
     *
     * @param cancellation sends it and runs the given action when it has ended
     */
    void add(Consumer<Runnable> cancellation) {
        synchronized (this) {
            if (running == MAXIMUM_RUNNING) {
                waiting.add(cancellation);
                if (waiting.size() > MAXIMUM_WAITING) {
                    waiting.remove();
                }
                return;
            }
            running++;
        }
        cancellation.accept(this::sendNext);
    }

    private void sendNext() {
        Consumer<Runnable> next;
        synchronized (this) {
            next = waiting.poll();
            if (next == null) {
                running--;
                return;
            }
        }
        next.accept(this::sendNext);
    }
}
