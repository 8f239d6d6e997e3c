package org.fuchsiatrail.internal.paths;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AbandonmentDecisionTest {

    private static final long SENT = 10_000;
    private static final long EXPECTED = 10_300;

    private static AbandonmentDecision.Decision decide(
            long now, boolean dark, boolean darkElsewhere, long lastAnswer, long probedAt, long millisLeft) {
        return AbandonmentDecision.decide(new AbandonmentDecision.View(
                now, dark, darkElsewhere, lastAnswer, SENT, 3, probedAt, EXPECTED, millisLeft, 800));
    }

    @Test
    void should_end_an_attempt_whose_upstream_takes_no_connections_while_the_caller_can_ask_again() {
        assertThat(decide(10_500, true, false, 9_990, 0, 3_500)).isInstanceOf(AbandonmentDecision.End.class);
        assertThat(decide(13_500, true, false, 9_990, 0, 500)).isInstanceOf(AbandonmentDecision.Keep.class);
    }

    @ParameterizedTest
    @ValueSource(longs = {10_700, 11_000, 11_300, 11_800})
    void should_keep_an_attempt_at_an_upstream_that_is_silent_for_a_second_and_more(long now) {
        assertThat(decide(now, false, false, 9_990, 10_650, 3_000)).isInstanceOf(AbandonmentDecision.Keep.class);
    }

    @ParameterizedTest
    @ValueSource(longs = {10_700, 11_500, 12_500, 13_000})
    void should_keep_an_attempt_at_a_slow_upstream_that_answers_others(long now) {
        assertThat(decide(now, false, true, now - 100, 10_650, 3_000)).isInstanceOf(AbandonmentDecision.Keep.class);
    }

    @Test
    void should_end_an_attempt_at_an_upstream_that_leaves_requests_and_a_probe_unanswered() {
        assertThat(decide(12_200, false, false, 9_990, 10_650, 1_900)).isInstanceOf(AbandonmentDecision.End.class);
    }

    @Test
    void should_end_an_attempt_at_an_upstream_that_is_silent_here_and_dark_elsewhere() {
        assertThat(decide(11_050, false, true, 9_990, 10_650, 3_000)).isInstanceOf(AbandonmentDecision.End.class);
        assertThat(decide(10_900, false, true, 9_990, 10_650, 3_000)).isInstanceOf(AbandonmentDecision.Keep.class);
    }

    @Test
    void should_probe_only_an_upstream_that_is_silent_and_late() {
        assertThat(decide(10_360, false, false, 9_990, 0, 3_500)).isEqualTo(new AbandonmentDecision.Keep(true, 10_460));
        assertThat(decide(10_360, false, false, 10_355, 0, 3_500))
                .isEqualTo(new AbandonmentDecision.Keep(false, 10_705));
        assertThat(decide(10_200, false, false, 9_990, 0, 3_500))
                .isEqualTo(new AbandonmentDecision.Keep(false, 10_350));
    }
}
