package org.fuchsiatrail.internal.locality;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.internal.locality.LeavingResult.Reason;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that leave their failure domain for nothing, and against ones that stay and are late. */
class LeavingDecisionTest {

    private static final FailureDomain HOME = new FailureDomain("home");
    private static final FailureDomain THERE = new FailureDomain("there");
    private static final double TARGET_MILLIS = 500;

    private static DomainOffer offer(FailureDomain domain, double millis, double partsMillis, double newsMillis) {
        return new DomainOffer(
                domain, millis + partsMillis, millis, partsMillis, 10, domain.equals(HOME) ? 0 : 4, newsMillis);
    }

    private static LeavingResult decide(DomainOffer home, DomainOffer there, double draw) {
        return decide(Optional.of(home), there, 0, true, draw);
    }

    private static LeavingResult decide(
            Optional<DomainOffer> home, DomainOffer there, double bytes, boolean permitted, double draw) {
        return LeavingDecision.decide(
                new LeavingView(home, List.of(there), TARGET_MILLIS, bytes, false, 0, permitted, draw));
    }

    @Test
    void should_stay_when_the_wait_at_home_is_longer_by_less_than_a_tenth_of_the_target() {
        assertThat(decide(offer(HOME, 100, 0, 0), offer(THERE, 50, 0, 0), 0))
                .isEqualTo(new LeavingResult.Stay(Reason.NO_GAIN, 0));
    }

    @Test
    void should_leave_when_the_wait_at_home_is_clearly_longer_by_fresh_news() {
        assertThat(decide(offer(HOME, 200, 0, 0), offer(THERE, 50, 0, 0), 0.99))
                .isInstanceOf(LeavingResult.Leave.class)
                .extracting(LeavingResult::reason)
                .isEqualTo(Reason.LONGER_WAIT);
    }

    @Test
    void should_leave_by_a_share_only_when_the_news_is_old() {
        DomainOffer home = offer(HOME, 400, 0, 0);
        assertThat(decide(home, offer(THERE, 0, 0, 1_000), 0.01)).isInstanceOf(LeavingResult.Leave.class);
        assertThat(decide(home, offer(THERE, 0, 0, 1_000), 0.2).reason()).isEqualTo(Reason.SHARE);
    }

    @Test
    void should_send_as_much_as_the_other_domain_can_take_in_time_when_home_is_late() {
        DomainOffer home = offer(HOME, 600, 0, 0);
        assertThat(decide(home, offer(THERE, 100, 0, 400), 0.95).reason()).isEqualTo(Reason.LATE);
        assertThat(decide(home, offer(THERE, 450, 0, 1_000), 0.5).reason()).isEqualTo(Reason.SHARE);
    }

    @Test
    void should_leave_without_an_upstream_at_home_however_old_the_news_and_though_no_more_may_leave() {
        assertThat(decide(Optional.empty(), offer(THERE, 2_000, 0, 10_000), 0, false, 0.99)
                        .reason())
                .isEqualTo(Reason.NO_UPSTREAM);
    }

    @Test
    void should_follow_shared_parts_unless_the_engine_that_holds_them_is_as_much_busier() {
        DomainOffer home = offer(HOME, 100, 300, 0);
        assertThat(decide(home, offer(THERE, 150, 0, 1_000), 0.99).reason()).isEqualTo(Reason.SHARED_PARTS);
        assertThat(decide(home, offer(THERE, 450, 0, 1_000), 0.99).reason()).isEqualTo(Reason.NO_GAIN);
    }

    @Test
    void should_continue_a_stream_where_its_engine_is_the_best_by_any_gain_above_the_way() {
        LeavingView view = new LeavingView(
                Optional.of(offer(HOME, 60, 0, 0)),
                List.of(offer(THERE, 50, 0, 1_000)),
                TARGET_MILLIS,
                0,
                true,
                0,
                true,
                0.99);
        assertThat(LeavingDecision.decide(view).reason()).isEqualTo(Reason.RESUMED);
    }

    @Test
    void should_count_the_bytes_that_cross() {
        Optional<DomainOffer> home = Optional.of(offer(HOME, 150, 0, 0));
        DomainOffer there = offer(THERE, 50, 0, 0);
        assertThat(decide(home, there, 100_000, true, 0)).isInstanceOf(LeavingResult.Leave.class);
        assertThat(decide(home, there, 5_000_000, true, 0).reason()).isEqualTo(Reason.NO_GAIN);
    }

    @Test
    void should_hold_back_what_exceeds_the_most_a_second() {
        LeavingRate rate = new LeavingRate(2);
        int left = 0;
        for (long now = 0; now < 10_000; now += 10) {
            if (rate.permits(now)) {
                rate.record(now);
                left++;
            }
        }
        assertThat(left).isBetween(20, 22);
        assertThat(new LeavingRate(0).permits(10_000)).isFalse();
    }

    @Test
    void should_leave_for_any_gain_above_the_fixed_cost_when_switched_off_or_among_few_routers() {
        assertThat(choose(true, false)).isEqualTo("near");
        assertThat(choose(false, false)).isEqualTo("far");
        assertThat(choose(true, true)).isEqualTo("far");
    }

    private static String choose(boolean byGain, boolean directNews) {
        DomainLeaving leaving = new DomainLeaving(HOME, byGain, 1, new SplittableRandom(1));
        DomainChoice<String> choice =
                leaving.choose(new DomainLeaving.Request("service", TARGET_MILLIS, 0, false, directNews, 0));
        choice.add(HOME, "near", 10, 10, 0);
        choice.add(THERE, "far", 5, 5, 0);
        return choice.select().orElseThrow();
    }

    @Test
    void should_learn_how_late_a_way_is_and_forget_it() {
        DomainWays ways = new DomainWays(HOME);
        for (int answer = 0; answer < 40; answer++) {
            ways.record(THERE, 250, 50, answer);
            ways.record(HOME, 100, 50, answer);
        }
        assertThat(ways.millis(THERE, 40)).isBetween(130.0, 150.0);
        assertThat(ways.millis(HOME, 40)).isZero();
        assertThat(ways.millis(THERE, 40_000)).isEqualTo(4);
    }
}
