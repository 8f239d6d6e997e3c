package org.fuchsiatrail.internal.forwarding;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SilentStreamDecisionTest {

    private long silentMillis = CallTiming.STREAM_IDLE_TIMEOUT_MILLIS;
    private int streaming = 2;
    private int silent = 1;
    private int silentAlike;
    private boolean sendable = true;
    private boolean budgetLeft = true;
    private boolean placeElsewhere = true;
    private boolean routerElsewhere = true;

    private SilentStreamDecision.Decision decide() {
        return SilentStreamDecision.decide(new SilentStreamDecision.Situation(
                silentMillis,
                streaming,
                silent,
                () -> silentAlike,
                sendable,
                budgetLeft,
                () -> placeElsewhere,
                () -> routerElsewhere));
    }

    private void assertKept(String reason) {
        assertThat(decide()).isEqualTo(new SilentStreamDecision.Keep(reason));
    }

    @ParameterizedTest
    @CsvSource({"0,0", "1,0", "1,1", "2,1", "4,2", "5,2"})
    void should_continue_elsewhere_when_a_minority_of_the_upstreams_is_silent(int streaming, int silent) {
        this.streaming = streaming;
        this.silent = silent;
        assertThat(decide()).isInstanceOf(SilentStreamDecision.ContinueElsewhere.class);
    }

    @ParameterizedTest
    @CsvSource({"2,2", "3,2", "4,3", "70,36"})
    void should_keep_an_attempt_for_a_time_when_most_upstreams_are_silent(int streaming, int silent) {
        this.streaming = streaming;
        this.silent = silent;
        silentMillis = SilentStreamDecision.COMMON_SILENCE_MILLIS - 1;
        assertKept("most upstreams are silent");
        silentMillis++;
        assertThat(decide()).isInstanceOf(SilentStreamDecision.ContinueElsewhere.class);
    }

    @Test
    void should_keep_an_attempt_for_the_same_time_when_most_upstreams_were_silent_as_long() {
        silentAlike = 2;
        silentMillis = SilentStreamDecision.COMMON_SILENCE_MILLIS - 1;
        assertKept("most upstreams were silent");
        silentMillis++;
        assertThat(decide()).isInstanceOf(SilentStreamDecision.ContinueElsewhere.class);
    }

    @Test
    void should_keep_an_attempt_when_the_request_may_not_be_sent_again() {
        sendable = false;
        assertKept("the request may not be sent again");
    }

    @Test
    void should_keep_an_attempt_when_no_retry_is_left() {
        budgetLeft = false;
        assertKept("retry budget is spent");
    }

    @Test
    void should_keep_an_attempt_when_no_other_upstream_has_a_place() {
        placeElsewhere = false;
        assertKept("no other upstream has a place");
    }

    @Test
    void should_continue_through_a_router_only_when_all_upstreams_stay_silent() {
        placeElsewhere = false;
        silentMillis = SilentStreamDecision.COMMON_SILENCE_MILLIS;
        streaming = 3;
        silent = 2;
        assertKept("no other upstream has a place");
        silent = 3;
        assertThat(decide()).isInstanceOf(SilentStreamDecision.ContinueThroughRouter.class);
        routerElsewhere = false;
        assertKept("no other upstream has a place");
    }
}
