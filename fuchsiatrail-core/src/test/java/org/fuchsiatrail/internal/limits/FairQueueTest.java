package org.fuchsiatrail.internal.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiatrail.CustomerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against customers that get more or less than their share: a customer with much queued work delays the others,
 * or an item that has to wait blocks the items behind it.
 */
class FairQueueTest {

    private final FairQueue<String> queue = new FairQueue<>();
    private final CustomerId large = new CustomerId("large");
    private final CustomerId small = new CustomerId("small");

    private List<String> dequeue(int count) {
        List<String> dequeued = new ArrayList<>();
        queue.offer(work -> dequeued.size() < count && dequeued.add(work));
        return dequeued;
    }

    @Test
    void should_dequeue_work_in_proportion_to_shares() {
        for (int number = 0; number < 100; number++) {
            queue.add(large, 3, 0, 10, false, "large");
            queue.add(small, 1, 0, 10, false, "small");
        }
        List<String> dequeued = dequeue(40);
        assertThat(dequeued).filteredOn("large"::equals).hasSize(30);
    }

    @Test
    void should_not_let_a_large_customer_delay_a_small_one() {
        for (int number = 0; number < 1_000; number++) {
            queue.add(large, 1, 0, 100, false, "large");
        }
        dequeue(500);
        queue.add(small, 1, 0, 100, false, "small");
        assertThat(dequeue(2)).contains("small");
    }

    @Test
    void should_dequeue_the_more_urgent_work_of_a_customer_first() {
        queue.add(small, 1, 5, 1, false, "later");
        queue.add(small, 1, 0, 1, false, "urgent");
        queue.add(small, 1, 5, 1, true, "first");
        assertThat(dequeue(3)).containsExactly("urgent", "first", "later");
    }

    @Test
    void should_offer_other_work_of_a_customer_when_its_first_item_is_not_accepted() {
        queue.add(small, 1, 0, 1, false, "waits");
        queue.add(small, 1, 0, 1, false, "goes");
        List<String> dequeued = new ArrayList<>();
        queue.offer(work -> work.equals("goes") && dequeued.add(work));
        assertThat(dequeued).containsExactly("goes");
        assertThat(queue.waitingCost(small)).isEqualTo(1);
    }

    @Test
    void should_give_each_busy_customer_its_share_for_items_of_mixed_cost() {
        SplittableRandom random = new SplittableRandom(7);
        Map<CustomerId, Integer> shares = new HashMap<>();
        Map<String, Long> dequeued = new HashMap<>();
        for (int number = 1; number <= 5; number++) {
            shares.put(new CustomerId("customer-" + number), number);
        }
        shares.forEach((customer, share) -> {
            for (int work = 0; work < 4_000; work++) {
                long cost = 1 + random.nextInt(100);
                queue.add(customer, share, 0, cost, false, customer.value() + "/" + cost);
            }
        });
        int[] remaining = {3_000};
        queue.offer(work -> {
            if (remaining[0]-- <= 0) {
                return false;
            }
            String[] parts = work.split("/");
            dequeued.merge(parts[0], Long.parseLong(parts[1]), Long::sum);
            return true;
        });
        long singleShareCost = dequeued.get("customer-1");
        shares.forEach((customer, share) -> assertThat((double) dequeued.get(customer.value()) / singleShareCost)
                .isBetween(share * 0.9, share * 1.1));
    }
}
