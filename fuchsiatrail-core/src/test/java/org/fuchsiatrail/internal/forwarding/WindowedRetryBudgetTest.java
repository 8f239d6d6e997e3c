package org.fuchsiatrail.internal.forwarding;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WindowedRetryBudgetTest {

    private final WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 10_000);

    @Test
    void should_never_allow_more_repeats_than_the_ratio_and_the_reserve_in_any_window() {
        int repeats = 0;
        for (int request = 0; request < 100; request++) {
            budget.request(request);
        }
        while (budget.tryRepeat(200, 10)) {
            repeats++;
        }
        assertThat(repeats).isBetween(20, 30);
    }

    @Test
    void should_allow_repeats_again_once_the_window_has_passed() {
        while (budget.tryRepeat(0, 10)) {
            assertThat(budget.mayRepeat(0, 0)).isFalse();
        }
        assertThat(budget.tryRepeat(9_000, 10)).isFalse();
        assertThat(budget.tryRepeat(10_001, 10)).isTrue();
    }
}
