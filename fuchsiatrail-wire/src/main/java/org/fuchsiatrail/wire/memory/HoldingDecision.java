package org.fuchsiatrail.wire.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which holdings are stopped when together they exceed the budget.
 *
 * <p>Load pattern: many callers each keep what a single request may keep, and do not go on or go on byte by byte, while
 * ordinary callers come and go within moments. The oldest are stopped first, whether or not they move, so that the
 * ordinary ones, which are young, are served. Small holdings are passed over, since stopping them frees little.
 */
public final class HoldingDecision {

    /** The holdings below this size are stopped only far above the budget, in bytes. */
    static final long SMALL_BYTES = 16 * 1024;

    private HoldingDecision() {}

    /**
     * A holding that can be stopped.
     *
     * @param index its place among all holdings
     * @param bytes the bytes that it keeps
     * @param sinceMillis when its request or its unread response began, in milliseconds
     */
    public record Stoppable(int index, long bytes, long sinceMillis) {}

    /** What is done about the holdings. */
    public sealed interface Decision {

        /** All are kept. */
        record Keep() implements Decision {}

        /**
         * Some are stopped.
         *
         * @param indexes their places among all holdings, the first to be stopped first
         */
        record Stop(List<Integer> indexes) implements Decision {}
    }

    /**
     * Decides.
     *
     * @param budgetBytes the budget of all holdings
     * @param heldBytes the bytes that all holdings keep, also those that cannot be stopped
     * @param stoppable the holdings that can be stopped
     * @return the holdings to stop, if any
     */
    public static Decision decide(long budgetBytes, long heldBytes, List<Stoppable> stoppable) {
        if (heldBytes <= budgetBytes || stoppable.isEmpty()) {
            return new Decision.Keep();
        }
        long sum = stoppable.stream().mapToLong(Stoppable::bytes).sum();
        long mean = sum / stoppable.size();
        long least = heldBytes > budgetBytes + budgetBytes / 4 ? mean / 4 : Math.max(mean / 4, SMALL_BYTES);
        List<Stoppable> oldestFirst = stoppable.stream()
                .filter(holding -> holding.bytes() >= least && holding.bytes() > 0)
                .sorted(Comparator.comparingLong(Stoppable::sinceMillis)
                        .thenComparing(
                                Comparator.comparingLong(Stoppable::bytes).reversed()))
                .toList();
        List<Integer> stopped = new ArrayList<>();
        long remaining = heldBytes;
        for (Stoppable holding : oldestFirst) {
            if (remaining <= budgetBytes - budgetBytes / 8) {
                break;
            }
            stopped.add(holding.index());
            remaining -= holding.bytes();
        }
        return stopped.isEmpty() ? new Decision.Keep() : new Decision.Stop(List.copyOf(stopped));
    }
}
