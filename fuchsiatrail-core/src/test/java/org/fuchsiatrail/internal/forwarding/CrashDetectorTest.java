package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against crashes that are missed because of the order or the time in which they are noticed. */
class CrashDetectorTest {

    private static final long REQUEST = 7;
    private static final AttemptId ATTEMPT = new AttemptId("a1");
    private static final UpstreamId INCARNATION = new UpstreamId("u1@1");
    private static final PeerMessage.SeenCrash CRASH = PeerMessage.SeenCrash.ofRequest(REQUEST, INCARNATION);

    private final ForwardingContext context = new ForwardingContext(
            ForwardingSettings.builder().self(new ForwardingFixture().self()).build());
    private final CrashTracker tracker = new CrashTracker(context, new PromptPartTracker(context, () -> false));
    private final CrashDetector detector = new CrashDetector(context, tracker);
    private long now = 1_000;

    @BeforeEach
    void begin() {
        context.beginTick(now);
    }

    private void advanceTime(long millis) {
        now += millis;
        context.beginTick(now);
        detector.run();
    }

    @Test
    void should_count_a_crash_when_the_end_of_the_upstream_is_noticed_seconds_later() {
        detector.recordLost(ATTEMPT, CRASH);
        advanceTime(10_000);
        detector.recordEnded(INCARNATION);
        assertThat(tracker.knownCrashes(REQUEST)).isEqualTo(1);
    }

    @Test
    void should_count_a_crash_when_the_end_of_the_upstream_is_noticed_first() {
        detector.recordEnded(INCARNATION);
        advanceTime(16_000);
        detector.recordLost(ATTEMPT, CRASH);
        assertThat(tracker.knownCrashes(REQUEST)).isEqualTo(1);
    }

    @Test
    void should_not_count_an_upstream_that_answered_in_between() {
        detector.recordLost(ATTEMPT, CRASH);
        advanceTime(300);
        detector.recordAnswer(INCARNATION);
        detector.recordEnded(INCARNATION);
        assertThat(tracker.knownCrashes(REQUEST)).isZero();
    }

    @Test
    void should_count_a_crash_although_an_answer_was_still_on_its_way() {
        detector.recordLost(ATTEMPT, CRASH);
        advanceTime(50);
        detector.recordAnswer(INCARNATION);
        detector.recordEnded(INCARNATION);
        assertThat(tracker.knownCrashes(REQUEST)).isEqualTo(1);
    }

    @Test
    void should_not_count_attempts_on_an_upstream_that_answers_again_after_a_refused_connection() {
        detector.recordEnded(INCARNATION);
        advanceTime(1_000);
        detector.recordAnswer(INCARNATION);
        detector.recordLost(ATTEMPT, CRASH);
        assertThat(tracker.knownCrashes(REQUEST)).isZero();
    }

    @Test
    void should_forget_an_attempt_whose_upstream_is_not_seen_to_end() {
        detector.recordLost(ATTEMPT, CRASH);
        advanceTime(20_000);
        detector.recordEnded(INCARNATION);
        assertThat(tracker.knownCrashes(REQUEST)).isZero();
    }

    @Test
    void should_count_an_attempt_that_was_given_up_unless_it_had_not_been_sent() {
        detector.recordGivenUp(ATTEMPT, CRASH);
        detector.recordGivenUp(new AttemptId("a2"), PeerMessage.SeenCrash.ofRequest(REQUEST + 1, INCARNATION));
        detector.withdraw(ATTEMPT);
        advanceTime(3_000);
        detector.recordEnded(INCARNATION);
        assertThat(tracker.knownCrashes(REQUEST)).isZero();
        assertThat(tracker.knownCrashes(REQUEST + 1)).isEqualTo(1);
    }

    @Test
    void should_let_the_network_side_report_an_unsent_attempt_on_an_upstream_that_ended_before() {
        detector.recordEnded(INCARNATION);
        detector.recordGivenUp(ATTEMPT, CRASH);
        advanceTime(10);
        detector.withdraw(ATTEMPT);
        advanceTime(1_000);
        assertThat(tracker.knownCrashes(REQUEST)).isZero();
    }
}
