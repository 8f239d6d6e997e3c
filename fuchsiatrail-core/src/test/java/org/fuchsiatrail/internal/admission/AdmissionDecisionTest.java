package org.fuchsiatrail.internal.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.UpstreamLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Replays single decisions at full upstreams. */
class AdmissionDecisionTest {

    private static final long TARGET_MILLIS = 800;
    private static final UpstreamId UPSTREAM = new UpstreamId("one");

    private static SendDecision decide(
            AdmissionDecision.Target target, boolean first, boolean budget, boolean queueStands, double placeMillis) {
        return decide(target, first, budget, true, queueStands, placeMillis);
    }

    private static SendDecision decide(
            AdmissionDecision.Target target,
            boolean first,
            boolean budget,
            boolean mayWaitForBudget,
            boolean queueStands,
            double placeMillis) {
        return AdmissionDecision.decide(new AdmissionDecision.Situation(
                target,
                first,
                budget,
                mayWaitForBudget,
                false,
                queueStands,
                1,
                placeMillis,
                TARGET_MILLIS,
                TARGET_MILLIS / 2,
                4 * TARGET_MILLIS,
                0));
    }

    private static SendDecision decideAt(double predictedMillis, boolean idle, boolean queueStands) {
        return decide(new AdmissionDecision.AtUpstream(predictedMillis, idle), true, true, queueStands, 0);
    }

    @Test
    void should_wait_while_a_place_is_expected_in_time_and_refuse_at_once_otherwise() {
        assertThat(decide(new AdmissionDecision.AllFull(), true, true, false, 100))
                .isInstanceOf(SendDecision.Wait.class);
        assertThat(decide(new AdmissionDecision.AllFull(), true, true, false, 300))
                .isEqualTo(new SendDecision.Refuse(ResultCode.OVERLOADED, 600, "all upstreams are full"));
    }

    @Test
    void should_wait_with_a_spent_retry_budget_instead_of_being_refused() {
        AdmissionDecision.AtUpstream upstream = new AdmissionDecision.AtUpstream(100, false);
        assertThat(decide(upstream, false, false, false, 0)).isInstanceOf(SendDecision.Wait.class);
        assertThat(decide(upstream, false, true, false, 0)).isInstanceOf(SendDecision.Send.class);
    }

    @Test
    void should_refuse_a_request_that_may_have_run_at_once_when_the_retry_budget_is_spent() {
        AdmissionDecision.AtUpstream upstream = new AdmissionDecision.AtUpstream(100, false);
        assertThat(decide(upstream, false, false, false, false, 0)).isInstanceOf(SendDecision.Refuse.class);
        assertThat(decide(upstream, false, true, false, false, 0)).isInstanceOf(SendDecision.Send.class);
    }

    @Test
    void should_accept_late_answers_during_a_burst_but_not_while_the_queue_stands() {
        assertThat(decideAt(1_000, false, false)).isInstanceOf(SendDecision.Send.class);
        assertThat(decideAt(1_000, false, true)).isInstanceOf(SendDecision.Refuse.class);
        assertThat(decideAt(700, false, true)).isInstanceOf(SendDecision.Send.class);
    }

    @Test
    void should_accept_the_largest_request_at_an_idle_upstream() {
        assertThat(decideAt(3 * TARGET_MILLIS, true, true)).isInstanceOf(SendDecision.Send.class);
    }

    @Test
    void should_tell_a_standing_queue_from_a_burst() {
        StandingQueue queue = new StandingQueue();
        for (long now = 0; now <= 2_000; now += 100) {
            queue.observe(now == 500 ? 100 : 1_000, TARGET_MILLIS, now);
            assertThat(queue.stands(TARGET_MILLIS, now)).isEqualTo(now > 500 + TARGET_MILLIS);
        }
        queue.observe(1_000, TARGET_MILLIS, 5_000);
        assertThat(queue.stands(TARGET_MILLIS, 5_000)).isFalse();
    }

    @Test
    void should_believe_a_refusal_until_a_place_came_free_or_the_share_of_the_next_ones_is_due() {
        UpstreamRefusals refusals = new UpstreamRefusals();
        refusals.record(new UpstreamRefusals.Observation(
                UPSTREAM, 12, 10, Optional.of(new UpstreamLoad(12, 36, 12)), 200, TARGET_MILLIS, 0));
        assertThat(refusals.room(UPSTREAM, 12, 10, 199).hasPlace()).isFalse();
        assertThat(refusals.room(new UpstreamId("other"), 12, 45, 199).hasPlace())
                .as("limit of all upstreams")
                .isFalse();
        assertThat(refusals.room(UPSTREAM, 12, 10, 200).hasPlace()).isTrue();
        refusals.record(new UpstreamRefusals.Observation(UPSTREAM, 12, 10, Optional.empty(), 200, TARGET_MILLIS, 300));
        refusals.placeCameFree(UPSTREAM);
        assertThat(refusals.room(UPSTREAM, 12, 10, 301).hasPlace()).isTrue();
    }

    @Test
    void should_not_take_the_refusal_of_an_upstream_with_idle_slots_for_a_limit() {
        UpstreamRefusals refusals = new UpstreamRefusals();
        refusals.record(new UpstreamRefusals.Observation(
                UPSTREAM, 12, 0, Optional.of(new UpstreamLoad(0, 0, 12)), 200, TARGET_MILLIS, 0));
        assertThat(refusals.room(new UpstreamId("other"), 12, 30, 1).hasPlace()).isTrue();
    }

    @Test
    void should_let_refused_callers_return_one_after_the_other_within_the_time_that_they_heed() {
        ReturnTimes returns = new ReturnTimes();
        SplittableRandom random = new SplittableRandom(1);
        List<Long> times = new ArrayList<>();
        for (int caller = 0; caller < 20; caller++) {
            times.add(returns.book(50, 120, 1_200, 0, random));
        }
        assertThat(times.subList(0, 5)).containsExactly(120L, 170L, 220L, 270L, 320L);
        assertThat(times).allMatch(millis -> millis <= 400);
        assertThat(times.subList(6, 20).stream().distinct().count()).isGreaterThan(10);
    }

    private static PlaceShare share(int own, int ownBefore) {
        return new PlaceShare(98, 1_176, 2_352, 3_528, 2_352, own, ownBefore, own, 68, 100);
    }

    @Test
    void should_give_a_more_urgent_request_a_place_when_less_urgent_ones_fill_the_share() {
        assertThat(share(35, 35).ownsPlace(0)).as("as urgent as the others").isFalse();
        assertThat(share(35, 5).ownsPlace(0)).as("more urgent").isTrue();
        assertThat(share(35, 5).ownsPlace(30)).as("behind others").isFalse();
        assertThat(share(52, 5).ownsPlace(0)).as("beyond what upstreams accept").isFalse();
    }

    @Test
    void should_let_a_busy_router_borrow_in_proportion_to_its_requests() {
        assertThat(new PlaceShare(98, 1_176, 2_352, 3_528, 1_176, 60, 60, 10, 68, 17).mayBorrow(0))
                .isFalse();
        assertThat(new PlaceShare(98, 1_176, 2_352, 3_528, 1_176, 60, 60, 50, 68, 17).mayBorrow(0))
                .isTrue();
    }

    @Test
    void should_put_the_more_urgent_request_first_and_then_the_one_that_is_due_first() {
        List<WaitingOrder.Waiting> waiting = List.of(
                new WaitingOrder.Waiting(2, 100), new WaitingOrder.Waiting(0, 900), new WaitingOrder.Waiting(2, 300));
        assertThat(WaitingOrder.ahead(new WaitingOrder.Waiting(0, 500), waiting))
                .isZero();
        assertThat(WaitingOrder.ahead(new WaitingOrder.Waiting(2, 200), waiting))
                .isEqualTo(2);
    }
}
