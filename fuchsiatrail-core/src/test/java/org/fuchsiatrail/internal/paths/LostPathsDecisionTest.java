package org.fuchsiatrail.internal.paths;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LostPathsDecisionTest {

    private static final int FAILED_WHEN_LOST = 3;

    private static boolean isLost(int destinations, int answered, int failed, int darkElsewhere, boolean relayed) {
        List<LostPathsDecision.Destination> all = new ArrayList<>();
        for (int number = 0; number < destinations; number++) {
            all.add(new LostPathsDecision.Destination(
                    number < answered + failed,
                    number >= answered && number < answered + failed,
                    number >= destinations - darkElsewhere));
        }
        return LostPathsDecision.decide(all, FAILED_WHEN_LOST, relayed) instanceof LostPathsDecision.Lost;
    }

    @ParameterizedTest
    @CsvSource({"1,1", "2,2", "3,3", "6,3"})
    void should_take_few_failures_for_a_loss_where_there_are_few_destinations(int destinations, int failed) {
        for (boolean relayed : new boolean[] {false, true}) {
            assertThat(isLost(destinations, 0, failed, 0, relayed)).isTrue();
            assertThat(isLost(destinations, 0, failed - 1, 0, relayed)).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 98, 600})
    void should_find_the_loss_of_all_paths_among_many_destinations(int destinations) {
        assertThat(isLost(destinations, 0, 3, 0, false)).isTrue();
        assertThat(isLost(destinations, 4, 7, 0, true)).isTrue();
        assertThat(isLost(destinations, 0, 6, 0, true)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 98, 600})
    void should_not_take_half_of_many_destinations_for_all(int destinations) {
        assertThat(isLost(destinations, destinations / 2, destinations / 2, 0, true))
                .isFalse();
    }

    @Test
    void should_not_count_destinations_that_other_routers_do_not_reach_either() {
        assertThat(isLost(98, 0, 98, 98, false)).isFalse();
    }

    /** One answer ends the failures that count, so that dark destinations must follow one another for a loss. */
    @ParameterizedTest
    @CsvSource({"12,0.25", "98,0.25", "98,0.34", "98,0.5", "600,0.5"})
    void should_refuse_no_relayed_request_while_a_part_of_the_destinations_is_dark(int destinations, double darkShare) {
        SplittableRandom random = new SplittableRandom(7);
        int lost = 0;
        for (int history = 0; history < 1_000; history++) {
            int tried = 4 + random.nextInt(destinations - 3);
            int dark = 0;
            for (int number = 0; number < tried; number++) {
                dark += random.nextDouble() < darkShare ? 1 : 0;
            }
            int sinceAnswer = 0;
            while (sinceAnswer < dark && random.nextDouble() < darkShare) {
                sinceAnswer++;
            }
            lost += isLost(destinations, tried - sinceAnswer, sinceAnswer, 0, true) ? 1 : 0;
        }
        assertThat(lost).as("of 1000 histories").isLessThan(10);
    }
}
