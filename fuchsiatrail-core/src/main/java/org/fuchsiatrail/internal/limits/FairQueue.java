package org.fuchsiatrail.internal.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.fuchsiatrail.CustomerId;

/**
 * Waiting work of all customers, taken in proportion to their shares.
 *
 * <p>Start-time fair queueing: each customer has a virtual time that grows with the work taken for it divided by its
 * share; the customer furthest behind goes first. A customer that had nothing waiting starts at the present virtual
 * time and saves nothing up. Within a customer, the more urgent priority goes first, then the earlier arrival.
 *
 * @param <W> the type of the waiting work
 */
public final class FairQueue<W> {

    private static final int PRIORITIES = 10;

    /** The most works of one customer that are offered in one round, so that one that must wait holds up few. */
    private static final int OFFERED_PER_CUSTOMER = 4;

    private final Map<CustomerId, Lane<W>> lanes = new TreeMap<>();
    private double virtualTime;

    private static final class Lane<W> {
        private final List<Deque<Entry<W>>> entries = new ArrayList<>();
        private double finishTime;
        private long waitingCost;
        private int share = 1;

        private Lane() {
            for (int priority = 0; priority < PRIORITIES; priority++) {
                entries.add(new ArrayDeque<>());
            }
        }

        private Entry<W> head() {
            for (Deque<Entry<W>> priority : entries) {
                if (!priority.isEmpty()) {
                    return priority.peekFirst();
                }
            }
            return null;
        }
    }

    private record Entry<W>(W work, long cost, int priority) {}

    /**
     * Adds work.
     *
     * @param customer whose work it is
     * @param share the customer's share, from 1
     * @param priority 0 is the most urgent, 9 the least
     * @param cost its size, in tokens
     * @param first whether it goes before the customer's other work of the same priority
     * @param work the work
     */
    public void add(CustomerId customer, int share, int priority, long cost, boolean first, W work) {
        Lane<W> lane = lanes.computeIfAbsent(customer, key -> new Lane<>());
        if (lane.head() == null) {
            lane.finishTime = Math.max(lane.finishTime, virtualTime);
        }
        lane.share = share;
        lane.waitingCost += cost;
        Entry<W> entry = new Entry<>(work, cost, Math.clamp(priority, 0, PRIORITIES - 1));
        Deque<Entry<W>> waiting = lane.entries.get(entry.priority());
        if (first) {
            waiting.addFirst(entry);
        } else {
            waiting.addLast(entry);
        }
    }

    /**
     * Offers the first few works of each customer in fair order, and takes what is accepted, until a whole round
     * accepts nothing.
     *
     * @param accept takes work and returns true, or leaves it and returns false
     */
    public void offer(Predicate<W> accept) {
        boolean progress = true;
        while (progress) {
            progress = false;
            for (Lane<W> lane : inOrder()) {
                Entry<W> accepted = firstAccepted(lane, accept);
                if (accepted != null) {
                    take(lane, accepted);
                    progress = true;
                    break;
                }
            }
        }
    }

    private Entry<W> firstAccepted(Lane<W> lane, Predicate<W> accept) {
        int offered = 0;
        for (Deque<Entry<W>> priority : lane.entries) {
            for (Entry<W> entry : priority) {
                if (accept.test(entry.work())) {
                    return entry;
                }
                offered++;
                if (offered == OFFERED_PER_CUSTOMER) {
                    return null;
                }
            }
        }
        return null;
    }

    private List<Lane<W>> inOrder() {
        List<Lane<W>> waiting = new ArrayList<>();
        for (Lane<W> lane : lanes.values()) {
            if (lane.head() != null) {
                waiting.add(lane);
            }
        }
        waiting.sort((left, right) -> Double.compare(left.finishTime, right.finishTime));
        return waiting;
    }

    private void take(Lane<W> lane, Entry<W> head) {
        lane.entries.get(head.priority()).remove(head);
        lane.waitingCost -= head.cost();
        virtualTime = Math.max(virtualTime, lane.finishTime);
        lane.finishTime += (double) head.cost() / lane.share;
    }

    /**
     * Removes work that a test picks.
     *
     * @param gone the test; what it is given is removed when it returns true
     */
    public void removeIf(Predicate<W> gone) {
        for (Lane<W> lane : lanes.values()) {
            for (Deque<Entry<W>> waiting : lane.entries) {
                waiting.removeIf(entry -> {
                    boolean removed = gone.test(entry.work());
                    if (removed) {
                        lane.waitingCost -= entry.cost();
                    }
                    return removed;
                });
            }
        }
        lanes.values().removeIf(lane -> lane.head() == null && lane.finishTime <= virtualTime);
    }

    /**
     * Returns the size of a customer's waiting work.
     *
     * @param customer the customer
     * @return tokens
     */
    public long waitingCost(CustomerId customer) {
        Lane<W> lane = lanes.get(customer);
        return lane == null ? 0 : lane.waitingCost;
    }

    /**
     * Returns the part of the whole that a customer gets while the present customers wait, with its present share.
     *
     * @param customer the customer
     * @return above 0, at most 1
     */
    public double portion(CustomerId customer) {
        Lane<W> lane = lanes.get(customer);
        return portion(customer, lane == null ? 1 : lane.share);
    }

    /**
     * Returns the part of the whole that a customer gets while the present customers wait.
     *
     * @param customer the customer
     * @param share its share
     * @return above 0, at most 1
     */
    public double portion(CustomerId customer, int share) {
        long sum = share;
        for (Map.Entry<CustomerId, Lane<W>> lane : lanes.entrySet()) {
            if (!lane.getKey().equals(customer) && lane.getValue().head() != null) {
                sum += lane.getValue().share;
            }
        }
        return (double) share / sum;
    }

    /**
     * Tells whether nothing waits.
     *
     * @return true when empty
     */
    public boolean isEmpty() {
        return lanes.values().stream().allMatch(lane -> lane.head() == null);
    }

    /**
     * Returns the size of all waiting work.
     *
     * @return tokens
     */
    public long totalCost() {
        long sum = 0;
        for (Lane<W> lane : lanes.values()) {
            sum += lane.waitingCost;
        }
        return sum;
    }
}
