package org.fuchsiatrail.internal.limits;

import org.fuchsiatrail.CustomerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTest {

    @Test
    void should_allow_a_tenth_of_first_attempts_beside_the_reserve() {
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.firstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isBetween(100, 111);
    }

    @Test
    void should_set_reservations_one_behind_the_other_and_keep_the_same_for_a_repeated_request() {
        RetryReservations reservations = new RetryReservations();
        CustomerId customer = new CustomerId("customer");
        long first = reservations.reserve(customer, "a", 0, 1_000, 200);
        long second = reservations.reserve(customer, "b", 0, 1_000, 200);

        assertThat(second).isEqualTo(first + 200);
        assertThat(reservations.reserve(customer, "a", 100, 1_000, 200)).isEqualTo(first - 100);
        assertThat(reservations.redeem("a", first - 1)).isFalse();
        assertThat(reservations.redeem("a", first)).isTrue();
        assertThat(reservations.redeem("a", first)).isFalse();
    }
}
