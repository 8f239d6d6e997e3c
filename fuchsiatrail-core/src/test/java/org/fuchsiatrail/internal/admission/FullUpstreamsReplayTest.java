package org.fuchsiatrail.internal.admission;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Replays callers who at once ask more than idle upstreams complete, at fleets of 3 to 340 routers. */
class FullUpstreamsReplayTest {

    private static final double MAXIMUM_TURNED_AWAY_FRACTION = 0.02;
    private static final double MINIMUM_GOODPUT_FRACTION = 0.95;

    @ParameterizedTest
    @CsvSource({"3,6", "7,10", "68,98", "340,150"})
    void should_send_full_upstreams_little_and_complete_as_much_beyond_their_capacity(int routers, int upstreams) {
        double completedAtCapacity = 0;
        for (double load : new double[] {1.0, 1.5, 2.5}) {
            ReplayedFleet fleet =
                    new ReplayedFleet(routers, upstreams, true, 1).play(ReplayedFleet.Pattern.steady(load));
            assertThat(fleet.turnedAwayFraction())
                    .as("turned away at load %s", load)
                    .isLessThanOrEqualTo(MAXIMUM_TURNED_AWAY_FRACTION);
            completedAtCapacity = Math.max(completedAtCapacity, load == 1.0 ? fleet.completedPerSecond() : 0);
            assertThat(fleet.completedPerSecond())
                    .as("completed a second at load %s", load)
                    .isGreaterThanOrEqualTo(MINIMUM_GOODPUT_FRACTION * completedAtCapacity);
        }
    }

    @ParameterizedTest
    @CsvSource({"3,6", "7,10", "68,98", "340,150"})
    void should_serve_the_more_urgent_first_and_starve_neither_a_kind_nor_a_router(int routers, int upstreams) {
        ReplayedFleet fleet = new ReplayedFleet(routers, upstreams, true, 2).play(ReplayedFleet.Pattern.steady(2.5));
        double capacity = 1 / 2.5;
        assertThat(fleet.urgent.servedFraction()).isGreaterThan(fleet.patient.servedFraction());
        assertThat(fleet.patient.servedFraction()).isGreaterThan(capacity / 4);
        for (ReplayedFleet.Outcome router : fleet.byRouter) {
            assertThat(router.servedFraction()).isGreaterThan(capacity / 2);
        }
    }

    private static List<Arguments> troubles() {
        return List.of(
                Arguments.of(ReplayedFleet.Pattern.burstOnOneKind(4), MAXIMUM_TURNED_AWAY_FRACTION),
                Arguments.of(ReplayedFleet.Pattern.twoHotCustomers(7.5), MAXIMUM_TURNED_AWAY_FRACTION),
                // Dark upstreams turn requests away until all routers know them.
                Arguments.of(ReplayedFleet.Pattern.darkUpstreams(24), 0.1));
    }

    @ParameterizedTest
    @MethodSource("troubles")
    void should_send_full_upstreams_little_in_trouble(ReplayedFleet.Pattern trouble, double maximumTurnedAway) {
        ReplayedFleet fleet = new ReplayedFleet(68, 98, true, 3).play(trouble);
        assertThat(fleet.turnedAwayFraction()).isLessThanOrEqualTo(maximumTurnedAway);
        ReplayedFleet withoutDecisions = new ReplayedFleet(68, 98, false, 3).play(trouble);
        assertThat(withoutDecisions.turnedAwayFraction()).isGreaterThan(maximumTurnedAway);
        assertThat(fleet.completedPerSecond())
                .isGreaterThan(MINIMUM_GOODPUT_FRACTION * withoutDecisions.completedPerSecond());
    }

    @ParameterizedTest
    @MethodSource("troubles")
    void should_keep_serving_the_urgent_and_starve_no_kind_and_no_customer_in_trouble(ReplayedFleet.Pattern trouble) {
        ReplayedFleet fleet = new ReplayedFleet(68, 98, true, 3).play(trouble);
        ReplayedFleet withoutDecisions = new ReplayedFleet(68, 98, false, 3).play(trouble);
        assertThat(fleet.urgent.servedFraction()).isGreaterThan(withoutDecisions.urgent.servedFraction());
        assertThat(fleet.patient.servedFraction()).isGreaterThan(fleet.urgent.servedFraction() / 3);
        assertThat(fleet.byCustomer)
                .allSatisfy(customer ->
                        assertThat(customer.servedFraction()).isGreaterThan(fleet.patient.servedFraction()));
    }

    @ParameterizedTest
    @CsvSource({"7,10", "68,98"})
    void should_not_refuse_at_busy_routers_while_upstreams_have_places(int routers, int upstreams) {
        ReplayedFleet fleet =
                new ReplayedFleet(routers, upstreams, true, 4).play(ReplayedFleet.Pattern.unevenRouters(0.9));
        int refused = fleet.urgent.refused + fleet.patient.refused;
        int asked = fleet.urgent.asked + fleet.patient.asked;
        assertThat((double) refused / asked).isLessThan(MAXIMUM_TURNED_AWAY_FRACTION);
        assertThat(fleet.turnedAwayFraction()).isLessThan(MAXIMUM_TURNED_AWAY_FRACTION);
    }

    @Test
    void should_be_turned_away_mostly_when_the_upstreams_alone_decide() {
        ReplayedFleet fleet = new ReplayedFleet(68, 98, false, 1).play(ReplayedFleet.Pattern.steady(2.5));
        assertThat(fleet.turnedAwayFraction()).isGreaterThan(0.5);
    }
}
