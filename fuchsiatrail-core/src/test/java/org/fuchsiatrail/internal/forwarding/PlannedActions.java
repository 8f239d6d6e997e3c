package org.fuchsiatrail.internal.forwarding;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/** Actions at times on the virtual clock, performed in their order. */
final class PlannedActions {

    private final PriorityQueue<Planned> actions =
            new PriorityQueue<>(Comparator.comparingLong(Planned::atMillis).thenComparingLong(Planned::number));
    private long lastNumber;

    private record Planned(long atMillis, long number, Runnable action) {}

    void add(long atMillis, Runnable action) {
        actions.add(new Planned(atMillis, ++lastNumber, action));
    }

    /** Performs the actions that are due by a clock, which they may advance. */
    void runUntil(LongSupplier clock) {
        while (!actions.isEmpty() && actions.peek().atMillis() <= clock.getAsLong()) {
            actions.poll().action().run();
        }
    }
}
