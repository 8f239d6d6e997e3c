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
 * Queues the waiting work items of all customers and dequeues them in proportion to the customers' shares.
 *
 * <p>Start-time fair queueing: each customer has a virtual time that grows by the cost of its dequeued items divided by
 * its share; the customer with the lowest virtual time is served first. A customer whose queue was empty starts at the
 * current virtual time, so that it gains no credit while idle. Within a customer, the more urgent priority is served
 * first, then the earlier arrival.
 *
 * @param <W> the type of the work items
 */
public final class FairQueue<W> {

    private static final int PRIORITY_LEVELS = 10;

    /**
     * The maximum number of items of one customer that are offered per round. Offering more than the first limits
     * head-of-line blocking by an item that has to wait.
     */
    private static final int MAXIMUM_OFFERED_PER_CUSTOMER = 4;

    private final Map<CustomerId, CustomerQueue<W>> queues = new TreeMap<>();
    private double virtualTime;

    private static final class CustomerQueue<W> {
        private final List<Deque<Entry<W>>> entriesByPriority = new ArrayList<>();
        private double virtualFinishTime;
        private long waitingCost;
        private int share = 1;

        private CustomerQueue() {
            for (int priority = 0; priority < PRIORITY_LEVELS; priority++) {
                entriesByPriority.add(new ArrayDeque<>());
            }
        }

        private Entry<W> head() {
            for (Deque<Entry<W>> entries : entriesByPriority) {
                if (!entries.isEmpty()) {
                    return entries.peekFirst();
                }
            }
            return null;
        }
    }

    private record Entry<W>(W work, long cost, int priority) {}

    /**
     * Adds a work item.
     *
     * @param customer the customer that the item belongs to
     * @param share the customer's share, from 1
     * @param priority 0 is the most urgent, 9 the least
     * @param cost the cost of the item, in tokens
     * @param first whether it precedes the customer's other items of the same priority
     * @param work the item
     */
    public void add(CustomerId customer, int share, int priority, long cost, boolean first, W work) {
        CustomerQueue<W> queue = queues.computeIfAbsent(customer, key -> new CustomerQueue<>());
        if (queue.head() == null) {
            queue.virtualFinishTime = Math.max(queue.virtualFinishTime, virtualTime);
        }
        queue.share = share;
        queue.waitingCost += cost;
        Entry<W> entry = new Entry<>(work, cost, Math.clamp(priority, 0, PRIORITY_LEVELS - 1));
        Deque<Entry<W>> waiting = queue.entriesByPriority.get(entry.priority());
        if (first) {
            waiting.addFirst(entry);
        } else {
            waiting.addLast(entry);
        }
    }

    /**
     * Offers the first few items of each customer in fair order and dequeues accepted items, until no item is accepted
     * in a whole round.
     *
     * @param accept returns true when it accepts an item, which is then dequeued, or false to keep it in the queue
     */
    public void offer(Predicate<W> accept) {
        boolean progress = true;
        while (progress) {
            progress = false;
            for (CustomerQueue<W> queue : queuesInFairOrder()) {
                Entry<W> accepted = firstAccepted(queue, accept);
                if (accepted != null) {
                    dequeue(queue, accepted);
                    progress = true;
                    break;
                }
            }
        }
    }

    private Entry<W> firstAccepted(CustomerQueue<W> queue, Predicate<W> accept) {
        int offered = 0;
        for (Deque<Entry<W>> entries : queue.entriesByPriority) {
            for (Entry<W> entry : entries) {
                if (accept.test(entry.work())) {
                    return entry;
                }
                offered++;
                if (offered == MAXIMUM_OFFERED_PER_CUSTOMER) {
                    return null;
                }
            }
        }
        return null;
    }

    private List<CustomerQueue<W>> queuesInFairOrder() {
        List<CustomerQueue<W>> nonEmpty = new ArrayList<>();
        for (CustomerQueue<W> queue : queues.values()) {
            if (queue.head() != null) {
                nonEmpty.add(queue);
            }
        }
        nonEmpty.sort((left, right) -> Double.compare(left.virtualFinishTime, right.virtualFinishTime));
        return nonEmpty;
    }

    private void dequeue(CustomerQueue<W> queue, Entry<W> entry) {
        queue.entriesByPriority.get(entry.priority()).remove(entry);
        queue.waitingCost -= entry.cost();
        virtualTime = Math.max(virtualTime, queue.virtualFinishTime);
        queue.virtualFinishTime += (double) entry.cost() / queue.share;
    }

    /**
     * Removes the items that match a condition.
     *
     * @param condition returns true for an item to remove
     */
    public void removeIf(Predicate<W> condition) {
        for (CustomerQueue<W> queue : queues.values()) {
            for (Deque<Entry<W>> waiting : queue.entriesByPriority) {
                waiting.removeIf(entry -> {
                    boolean removed = condition.test(entry.work());
                    if (removed) {
                        queue.waitingCost -= entry.cost();
                    }
                    return removed;
                });
            }
        }
        queues.values().removeIf(queue -> queue.head() == null && queue.virtualFinishTime <= virtualTime);
    }

    /**
     * Returns the total cost of a customer's waiting items.
     *
     * @param customer the customer
     * @return tokens
     */
    public long waitingCost(CustomerId customer) {
        CustomerQueue<W> queue = queues.get(customer);
        return queue == null ? 0 : queue.waitingCost;
    }

    /**
     * Returns the portion of the total capacity that a customer gets while other customers have waiting items, by
     * the customer's last share.
     *
     * @param customer the customer
     * @return above 0, at most 1
     */
    public double portion(CustomerId customer) {
        CustomerQueue<W> queue = queues.get(customer);
        return portion(customer, queue == null ? 1 : queue.share);
    }

    /**
     * Returns the portion of the total capacity that a customer gets while other customers have waiting items.
     *
     * @param customer the customer
     * @param share the customer's share
     * @return above 0, at most 1
     */
    public double portion(CustomerId customer, int share) {
        long sum = share;
        for (Map.Entry<CustomerId, CustomerQueue<W>> queue : queues.entrySet()) {
            if (!queue.getKey().equals(customer) && queue.getValue().head() != null) {
                sum += queue.getValue().share;
            }
        }
        return (double) share / sum;
    }

    /**
     * Returns whether no item is waiting.
     *
     * @return true when empty
     */
    public boolean isEmpty() {
        return queues.values().stream().allMatch(queue -> queue.head() == null);
    }

    /**
     * Returns the total cost of all waiting items.
     *
     * @return tokens
     */
    public long totalCost() {
        long sum = 0;
        for (CustomerQueue<W> queue : queues.values()) {
            sum += queue.waitingCost;
        }
        return sum;
    }
}
