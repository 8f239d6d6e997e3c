package org.fuchsiatrail.internal.limits;

import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.LimitTolerance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against customers that use more than their limit over all routers, or are refused below it. */
class CustomerLimitsTest {

    private static final int SEEDS = 3;
    private static final int MANY_SEEDS = 20;
    private static final long REQUEST = 9_200;
    private static final LimitTolerance TOLERANCE = new LimitTolerance(8_000, 100, 110_000);

    private static CustomerLimit limit(long perSecond) {
        return new CustomerLimit(perSecond, perSecond, CustomerLimit.Unit.TOKENS, 200);
    }

    /** The rate of a customer that sends 6.6 times its usual, with a limit of 1.8 times that. */
    private static long hot(long perSecond) {
        return times(6.6 / 1.8, perSecond);
    }

    /** Returns a fleet after a time of the usual rate. */
    private static LimitFleet usual(int routers, long perSecond, long seed) {
        LimitFleet fleet = fleet(routers, perSecond, seed);
        fleet.run(10_000, times(1 / 1.8, perSecond), REQUEST);
        return fleet;
    }

    private static LimitFleet fleet(int routers, long perSecond, long seed) {
        LimitFleet fleet = new LimitFleet(routers, limit(perSecond), TOLERANCE, seed);
        fleet.run(10_000, 0, REQUEST);
        return fleet;
    }

    private static long times(double factor, long perSecond) {
        return (long) (factor * perSecond);
    }

    @ParameterizedTest
    @CsvSource({"3,100000", "7,300000", "12,100000", "68,100000", "68,614000", "68,2800000", "340,1600000"})
    void should_refuse_nothing_at_steady_demand_below_the_limit(int routers, long perSecond) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = fleet(routers, perSecond, seed);
            fleet.run(20_000, times(1 / 1.8, perSecond), REQUEST);
            assertThat(fleet.refused).as("seed %d", seed).isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({"3,100000", "7,300000", "12,614000", "68,29000", "68,100000", "68,614000", "68,2800000", "340,1600000"})
    void should_keep_the_limit_and_use_it_at_many_times_its_rate(int routers, long perSecond) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = usual(routers, perSecond, seed);
            fleet.run(15_000, hot(perSecond), REQUEST);
            fleet.admitted = 0;
            fleet.run(15_000, 5 * perSecond, REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
            assertThat(fleet.admitted).as("seed %d", seed).isGreaterThan(times(0.9 * 15, perSecond));
        }
    }

    @ParameterizedTest
    @CsvSource({"340,300000"})
    void should_refuse_nothing_to_a_customer_of_thirty_requests_a_second_below_the_limit(int routers, long perSecond) {
        assertNothingIsRefusedBelowLimit(routers, perSecond);
    }

    @ParameterizedTest
    @CsvSource({"68,29000", "70,29000"})
    void should_refuse_nothing_to_small_customers_below_the_limit(int routers, long perSecond) {
        assertNothingIsRefusedBelowLimit(routers, perSecond);
    }

    private static void assertNothingIsRefusedBelowLimit(int routers, long perSecond) {
        for (int seed = 1; seed <= MANY_SEEDS; seed++) {
            LimitFleet fleet = fleet(routers, perSecond, seed);
            fleet.run(40_000, times(1 / 1.8, perSecond), REQUEST);
            assertThat(fleet.refusedBelow)
                    .as("seed %d, of %d asked", seed, fleet.asked)
                    .isZero();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {29_000, 58_000, 614_000, 2_800_000})
    void should_keep_the_limit_when_a_customer_rises_from_close_to_it_to_five_times_it(long perSecond) {
        assertLimitIsKeptInRise(68, perSecond);
    }

    @ParameterizedTest
    @CsvSource({"68,100000", "340,614000"})
    void should_keep_the_limit_in_such_a_rise_at_ten_requests_a_second_and_in_the_largest_fleet(
            int routers, long perSecond) {
        assertLimitIsKeptInRise(routers, perSecond);
    }

    private static void assertLimitIsKeptInRise(int routers, long perSecond) {
        for (int seed = 1; seed <= MANY_SEEDS; seed++) {
            LimitFleet fleet = fleet(routers, perSecond, seed);
            fleet.run(10_000, times(0.85, perSecond), REQUEST);
            fleet.run(10_000, 5 * perSecond, REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {100_000, 614_000, 2_800_000})
    void should_keep_the_limit_while_a_failure_domain_is_cut_off_under_a_hot_customer(long perSecond) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = usual(68, perSecond, seed);
            fleet.run(3_000, hot(perSecond), REQUEST);
            fleet.cutDomains.add(1);
            fleet.run(6_000, hot(perSecond), REQUEST);
            fleet.cutDomains.clear();
            fleet.run(10_000, hot(perSecond), REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {100_000, 614_000, 2_800_000})
    void should_keep_the_limit_while_single_routers_are_cut_off(long perSecond) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = usual(68, perSecond, seed);
            for (int router = 60; router < 68; router++) {
                fleet.cutRouters.add(router);
            }
            fleet.run(6_000, hot(perSecond), REQUEST);
            fleet.cutRouters.clear();
            fleet.run(10_000, hot(perSecond), REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {100_000, 614_000, 2_800_000})
    void should_begin_no_second_burst_when_all_routers_restart_at_once(long perSecond) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = usual(68, perSecond, seed);
            fleet.run(5_000, hot(perSecond), REQUEST);
            fleet.restartAll();
            fleet.run(10_000, hot(perSecond), REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {100_000, 614_000, 2_800_000})
    void should_begin_no_second_burst_when_all_routers_restart_and_the_list_of_routers_grows(long perSecond) {
        assertNoSecondBurst(perSecond, 2, SEEDS);
    }

    @ParameterizedTest
    @ValueSource(longs = 29_000)
    void should_begin_no_second_burst_of_a_small_customer_when_many_routers_are_listed_at_once(long perSecond) {
        assertNoSecondBurst(perSecond, 10, 10);
    }

    private static void assertNoSecondBurst(long perSecond, int listedAtOnce, int seeds) {
        for (int seed = 1; seed <= seeds; seed++) {
            LimitFleet fleet = usual(68, perSecond, seed);
            fleet.run(5_000, hot(perSecond), REQUEST);
            fleet.restartAll();
            fleet.listed = 0;
            fleet.run(1_000, hot(perSecond), REQUEST);
            while (fleet.listed < 68) {
                fleet.listed = Math.min(68, fleet.listed + listedAtOnce);
                fleet.run(40, hot(perSecond), REQUEST);
            }
            fleet.run(10_000, hot(perSecond), REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {200_000, 614_000, 2_800_000})
    void should_keep_a_lower_limit_one_window_after_it_was_set(long perSecond) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = fleet(68, perSecond, seed);
            fleet.run(10_000, 2 * perSecond, REQUEST);
            fleet.limit = limit(perSecond / 2);
            fleet.run(TOLERANCE.windowMillis(), 2 * perSecond, REQUEST);
            fleet.largestPart = 0;
            fleet.run(10_000, 2 * perSecond, REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
        }
    }

    @Test
    void should_keep_the_limit_when_routers_wake_after_a_suspension() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = usual(68, 614_000, seed);
            fleet.run(3_000, hot(614_000), REQUEST);
            fleet.routers.stream()
                    .filter(router -> router.position % 3 == 0)
                    .forEach(router -> router.runsFromMillis = fleet.now + 5_000);
            fleet.run(12_000, hot(614_000), REQUEST);
            assertThat(fleet.largestPart).as("seed %d", seed).isLessThanOrEqualTo(1);
        }
    }

    @Test
    void should_refuse_nothing_below_the_limit_beside_routers_that_know_no_limits() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitFleet fleet = new LimitFleet(68, limit(614_000), TOLERANCE, seed);
            for (int router = 0; router < 68; router += 2) {
                fleet.unaware.add(router);
            }
            fleet.run(10_000, 0, REQUEST);
            fleet.run(10_000, times(0.56, 614_000), REQUEST);
            assertThat(fleet.refused).as("seed %d", seed).isZero();
        }
    }

    @Test
    void should_keep_the_limit_in_random_histories() {
        for (int seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int routers = random.nextInt(3, 120);
            long perSecond = random.nextLong(100_000, 3_000_000);
            LimitFleet fleet = usual(routers, perSecond, seed);
            for (int phase = 0; phase < 6; phase++) {
                switch (random.nextInt(3)) {
                    case 0 -> fleet.cutDomains.add(random.nextInt(3));
                    case 1 -> fleet.cutRouters.add(random.nextInt(routers));
                    default -> {
                        fleet.cutDomains.clear();
                        fleet.cutRouters.clear();
                    }
                }
                fleet.run(random.nextLong(1_000, 8_000), times(random.nextDouble(0.3, 3.7), perSecond), REQUEST);
            }
            assertThat(fleet.largestPart)
                    .as("seed %d, %d routers, %d a second", seed, routers, perSecond)
                    .isLessThanOrEqualTo(1);
        }
    }

    @Test
    void should_take_back_what_was_not_executed() {
        EntryVm self = new EntryVm(new EntryVmId("vm-1"), new FailureDomain("d"), "10.0.0.1:1", false);
        CustomerLimits limits = new CustomerLimits(self, TOLERANCE, () -> 0.5);
        long now = 1_000_000;
        limits.run(true, 1, Optional.empty(), now);
        for (int request = 0; request < 1_000; request++) {
            now += 50;
            limits.run(true, 1, Optional.empty(), now);
            LimitDecision decision = limits.decide(LimitFleet.CUSTOMER, limit(200_000), REQUEST, now);
            assertThat(decision).as("request %d", request).isEqualTo(new LimitDecision.Admitted(REQUEST));
            limits.giveBack(LimitFleet.CUSTOMER, REQUEST, now, now + 10);
        }
    }
}
