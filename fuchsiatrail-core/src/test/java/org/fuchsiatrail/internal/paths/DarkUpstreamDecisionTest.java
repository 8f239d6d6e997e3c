package org.fuchsiatrail.internal.paths;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class DarkUpstreamDecisionTest {

    private static final int OTHERS = 20;

    private static boolean isDark(long lastAnswerAtMillis, long nowMillis, int othersReached, int othersTimedOut) {
        return DarkUpstreamDecision.decide(new DarkUpstreamDecision.View(
                        nowMillis, lastAnswerAtMillis, 10_000, 10_400, OTHERS, othersReached, othersTimedOut))
                instanceof DarkUpstreamDecision.Dark;
    }

    @ParameterizedTest
    @CsvSource({"2,0,true", "20,7,true", "10,10,true", "0,0,false", "1,7,false", "0,20,false"})
    void should_tell_a_dark_upstream_from_an_own_path_that_is_lost_or_full(int reached, int timedOut, boolean dark) {
        assertThat(isDark(9_900, 10_400, reached, timedOut)).isEqualTo(dark);
    }

    @ParameterizedTest
    @CsvSource({"10000,10400", "10300,10400", "9000,13000"})
    void should_believe_an_answer_since_and_forget_an_old_timeout(long lastAnswerAtMillis, long nowMillis) {
        assertThat(isDark(lastAnswerAtMillis, nowMillis, 5, 0)).isFalse();
    }
}
