package org.fuchsiatrail.internal.forwarding;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against retry storms: engines that fail together would double the load if retries were not limited to a ratio
 * of the requests plus a reserve.
 */
class WindowedRetryBudgetTest {

    private final WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 10_000);

    @Test
    void should_never_allow_more_retries_in_a_window_than_the_ratio_and_the_reserve() {
        int retries = 0;
        for (int request = 0; request < 100; request++) {
            budget.recordRequest(request);
        }
        while (budget.tryRetry(200, 10)) {
            retries++;
        }
        assertThat(retries).isBetween(20, 30);
    }

    @Test
    void should_allow_retries_again_once_the_window_has_passed() {
        while (budget.tryRetry(0, 10)) {
            assertThat(budget.mayRetry(0, 0)).isFalse();
        }
        assertThat(budget.tryRetry(9_000, 10)).isFalse();
        assertThat(budget.tryRetry(10_001, 10)).isTrue();
    }

    @Test
    void should_allow_one_more_retry_for_each_that_is_given_back() {
        while (budget.tryRetry(0, 10)) {
            assertThat(budget.mayRetry(0, 0)).isFalse();
        }
        budget.returnRetry();
        assertThat(budget.tryRetry(0, 10)).isTrue();
        assertThat(budget.tryRetry(0, 10)).isFalse();
    }
}
