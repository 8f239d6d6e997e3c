package org.fuchsiatrail.internal.limits;

import org.fuchsiatrail.CustomerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against retries that multiply the load after failures: retries beyond the budget, or refused requests that all
 * return at the same time.
 */
class RetryBudgetTest {

    @Test
    void should_allow_retries_for_a_tenth_of_first_attempts_besides_the_initial_tokens() {
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.recordFirstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isBetween(100, 111);
    }

    @Test
    void should_place_reservations_one_after_another_and_keep_the_retry_time_of_a_repeated_request() {
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
