package org.fuchsiatrail.wire.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiatrail.wire.memory.HoldingDecision.Decision;
import org.fuchsiatrail.wire.memory.HoldingDecision.Stoppable;
import org.fuchsiatrail.wire.memory.MemoryBudget.State;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a crowd of slow callers that takes the memory of ordinary ones. */
class HoldingDecisionTest {

    private static final long MEGABYTE = 1 << 20;
    private static final long BUDGET = 10 * MEGABYTE;

    @Test
    void should_keep_all_within_the_budget_and_what_cannot_be_stopped() {
        List<Stoppable> one = List.of(new Stoppable(0, BUDGET, 0));
        assertThat(HoldingDecision.decide(BUDGET, BUDGET, one)).isEqualTo(new Decision.Keep());
        assertThat(HoldingDecision.decide(BUDGET, 2 * BUDGET, List.of())).isEqualTo(new Decision.Keep());
    }

    @Test
    void should_stop_the_oldest_first_and_no_more_than_it_takes() {
        List<Stoppable> holdings = List.of(
                new Stoppable(0, 4 * MEGABYTE, 5_000),
                new Stoppable(1, 2 * MEGABYTE, 1_000),
                new Stoppable(2, 2 * MEGABYTE, 3_000),
                new Stoppable(3, 3 * MEGABYTE, 2_000));
        assertThat(HoldingDecision.decide(BUDGET, 11 * MEGABYTE, holdings)).isEqualTo(new Decision.Stop(List.of(1, 3)));
    }

    @Test
    void should_pass_over_small_holdings_unless_far_above_the_budget() {
        List<Stoppable> small = List.of(new Stoppable(0, 2_000, 0), new Stoppable(1, 2_000, 1));
        assertThat(HoldingDecision.decide(BUDGET, BUDGET + MEGABYTE, small)).isEqualTo(new Decision.Keep());
        assertThat(HoldingDecision.decide(BUDGET, BUDGET + 3 * MEGABYTE, small))
                .isEqualTo(new Decision.Stop(List.of(0, 1)));
    }

    @Test
    void should_read_whole_uploads_beside_a_crowd_that_moves_byte_by_byte() {
        AtomicLong now = new AtomicLong();
        MemoryBudget budget = MemoryBudget.ofMachine(6 * BUDGET, 1_000, now::get, new RouterMetrics());
        List<String> stopped = new ArrayList<>();
        List<MemoryBudget.Holding> crowd = new ArrayList<>();
        for (int caller = 0; caller < 200; caller++) {
            MemoryBudget.Holding slow = budget.open(() -> stopped.add("slow"));
            slow.keep(60_000, State.UNFINISHED);
            crowd.add(slow);
            now.addAndGet(5);
        }
        for (int upload = 0; upload < 20; upload++) {
            MemoryBudget.Holding ordinary = budget.open(() -> stopped.add("ordinary"));
            for (int part = 1; part <= 40; part++) {
                ordinary.keep(part * MEGABYTE / 10, State.UNFINISHED);
                crowd.get((upload * 40 + part) % 200).keep(60_000 + part, State.UNFINISHED);
                now.addAndGet(5);
            }
            ordinary.close();
        }
        assertThat(stopped).contains("slow").doesNotContain("ordinary");
    }

    @Test
    void should_close_the_connection_that_has_done_nothing_for_longest_when_there_are_too_many() {
        AtomicLong now = new AtomicLong();
        MemoryBudget budget = MemoryBudget.ofMachine(6 * BUDGET, 2, now::get, new RouterMetrics());
        List<String> stopped = new ArrayList<>();
        for (String name : List.of("working", "idle", "new")) {
            budget.connectionOpened();
            budget.openConnection(() -> {}, () -> stopped.add(name))
                    .keep(8_192, name.equals("working") ? State.IN_WORK : State.IDLE);
            now.addAndGet(1_000);
        }
        assertThat(stopped).containsExactly("idle");
    }

    @Test
    void should_admit_no_connection_beside_too_many_that_are_in_work() {
        MemoryBudget budget = MemoryBudget.ofMachine(6 * BUDGET, 1, () -> 0, new RouterMetrics());
        List<String> stopped = new ArrayList<>();
        assertThat(budget.connectionOpened()).isTrue();
        budget.openConnection(() -> {}, () -> stopped.add("caller")).keep(8_192, State.IN_WORK);
        budget.open(() -> stopped.add("attempt")).keep(8_192, State.UNFINISHED);

        assertThat(budget.connectionOpened()).isFalse();
        assertThat(stopped).isEmpty();
    }

    @Test
    void should_begin_no_large_request_above_the_budget_and_no_small_one_far_above_it() {
        MemoryBudget budget = MemoryBudget.ofMachine(8 * BUDGET, 10, () -> 0, new RouterMetrics());
        MemoryBudget.Holding inWork = budget.open(() -> {});
        inWork.keep(BUDGET, State.IN_WORK);
        assertThat(budget.canTake(MEGABYTE)).isTrue();

        inWork.keep(BUDGET + 1, State.IN_WORK);
        assertThat(budget.canTake(MEGABYTE)).isFalse();
        assertThat(budget.canTake(1_000)).isTrue();

        inWork.keep(2 * BUDGET, State.IN_WORK);
        assertThat(budget.canTake(1_000)).isFalse();
    }
}
