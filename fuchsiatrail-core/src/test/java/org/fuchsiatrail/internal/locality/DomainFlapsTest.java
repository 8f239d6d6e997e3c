package org.fuchsiatrail.internal.locality;

import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against traffic that flaps between failure domains: 70 routers that decide on news a second old must neither
 * all leave at once nor keep at home what another domain would serve in time.
 */
class DomainFlapsTest {

    private static final int SECONDS = 30;

    private static DomainTrafficReplay domains(int count, double load) {
        int[] engines = new int[count];
        double[] loads = new double[count];
        Arrays.fill(engines, 12);
        Arrays.fill(loads, load);
        return new DomainTrafficReplay(engines, loads);
    }

    private static DomainTrafficReplay threeToOne(int count) {
        DomainTrafficReplay replay = domains(count, 0.45);
        replay.load[0] = 1.35;
        return replay;
    }

    private static void playSteadily(DomainTrafficReplay replay) {
        replay.play(5_000);
        replay.clearCounts();
        replay.play(SECONDS * 1_000);
    }

    private static void assertSteadyAndInTime(DomainTrafficReplay replay) {
        assertThat(replay.signChanges).as("turns of the flow").isLessThanOrEqualTo(SECONDS / 5);
        assertThat((double) replay.needlesslyLate / replay.sent)
                .as("late though another domain had room")
                .isLessThan(0.002);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 8})
    void should_stay_at_home_while_all_domains_have_the_same_load(int count) {
        DomainTrafficReplay replay = domains(count, 0.8);
        replay.play(SECONDS * 1_000);
        assertThat(replay.left).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 8})
    void should_send_the_excess_of_a_domain_with_half_of_its_engines_gone(int count) {
        DomainTrafficReplay replay = domains(count, 0.65);
        replay.play(5_000);
        replay.engines[0] = 6;
        replay.load[0] = 1.3;
        playSteadily(replay);
        assertSteadyAndInTime(replay);
        assertThat(replay.left * 1.0 / replay.sentAtFirst).isBetween(0.2, 0.35);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 8})
    void should_send_the_excess_of_a_load_of_three_to_one(int count) {
        DomainTrafficReplay replay = threeToOne(count);
        playSteadily(replay);
        assertSteadyAndInTime(replay);
        assertThat(replay.left * 1.0 / replay.sentAtFirst).isBetween(0.22, 0.4);
    }

    @Test
    void should_carry_the_load_at_home_that_another_domain_took_until_it_was_cut_off_and_send_again_when_it_is_back() {
        DomainTrafficReplay replay = threeToOne(3);
        replay.play(10_000);
        replay.cutOff[1] = true;
        playSteadily(replay);
        assertSteadyAndInTime(replay);
        assertThat(replay.received[1]).isZero();
        replay.cutOff[1] = false;
        playSteadily(replay);
        assertSteadyAndInTime(replay);
        assertThat(replay.received[1]).isPositive();
    }

    @Test
    void should_send_less_on_a_way_that_loses_packets_and_again_as_much_when_it_is_mended() {
        DomainTrafficReplay replay = threeToOne(3);
        playSteadily(replay);
        long before = replay.left;
        replay.wayMillis = 200;
        playSteadily(replay);
        assertThat(replay.firstDomainWaitMillis).isGreaterThan(200);
        assertThat(replay.signChanges).isLessThanOrEqualTo(SECONDS / 5);
        replay.wayMillis = 2;
        playSteadily(replay);
        assertThat(replay.left).isBetween(before * 8 / 10, before * 12 / 10);
    }

    @Test
    void should_go_on_without_flapping_when_all_routers_of_the_loaded_domain_are_new() {
        DomainTrafficReplay replay = threeToOne(4);
        replay.play(10_000);
        replay.restartRouters(0);
        replay.clearCounts();
        replay.play(SECONDS * 1_000);
        assertSteadyAndInTime(replay);
    }
}
