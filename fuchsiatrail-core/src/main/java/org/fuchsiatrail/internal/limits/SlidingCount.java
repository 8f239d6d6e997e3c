package org.fuchsiatrail.internal.limits;

/** Counts whole amounts over the last part of time, in slots that begin at multiples of their length. */
final class SlidingCount {

    private final long slotMillis;
    private final long[] amounts;
    private long lastSlot = Long.MIN_VALUE / 2;

    /** Creates a count that covers the slot of the present time and the given number of slots before it. */
    SlidingCount(long slotMillis, int slotsBefore) {
        this.slotMillis = slotMillis;
        this.amounts = new long[slotsBefore + 1];
    }

    void add(long amount, long nowMillis) {
        advance(nowMillis);
        amounts[index(lastSlot)] += amount;
    }

    /** Takes an amount back that was added at an earlier time, unless it does not count any more. */
    void remove(long amount, long atMillis, long nowMillis) {
        advance(nowMillis);
        long slot = Math.floorDiv(atMillis, slotMillis);
        if (slot > lastSlot - amounts.length && slot <= lastSlot) {
            amounts[index(slot)] = Math.max(0, amounts[index(slot)] - amount);
        }
    }

    /** Returns the sum over the present slot and the given number of slots before it. */
    long sum(int slotsBefore, long nowMillis) {
        advance(nowMillis);
        long sum = 0;
        for (int back = 0; back <= Math.min(slotsBefore, amounts.length - 1); back++) {
            sum += amounts[index(lastSlot - back)];
        }
        return sum;
    }

    long sum(long nowMillis) {
        return sum(amounts.length - 1, nowMillis);
    }

    private void advance(long nowMillis) {
        long slot = Math.floorDiv(nowMillis, slotMillis);
        for (long cleared = Math.max(lastSlot + 1, slot - amounts.length + 1); cleared <= slot; cleared++) {
            amounts[index(cleared)] = 0;
        }
        lastSlot = Math.max(lastSlot, slot);
    }

    private int index(long slot) {
        return (int) Math.floorMod(slot, (long) amounts.length);
    }
}
