package org.fuchsiatrail.internal.forwarding;

import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetWeightsHistoryTest {

    private static final String MODEL = "tutor";
    private static final EntryVmId PEER = new EntryVmId("vm-2");
    private static final long START_MILLIS = 1_000_000;
    /** The assumed age of targets that are found at the start, in milliseconds. */
    private static final long INITIAL_AGE_MILLIS = 5_000;

    private final ForwardingContext context = new ForwardingContext(ForwardingSettings.builder()
            .self(new EntryVm(new EntryVmId("vm-1"), new FailureDomain("lima-a"), "10.0.0.1:7000", false))
            .seed(7)
            .build());
    private final TargetWeightsHistory history = new TargetWeightsHistory(context);
    private long now = START_MILLIS;

    /** Lets a router start that finds version 1 in the store, and run for a minute. */
    private void runSinceLongAgo() {
        context.beginTick(now);
        history.add(MODEL, 1, true);
        advance(60_000);
    }

    private void advance(long millis) {
        for (long end = now + millis; now < end; ) {
            now = Math.min(end, now + 200);
            context.beginTick(now);
        }
    }

    private void suspend(long millis) {
        now += millis;
        context.beginTick(now);
    }

    private void suspendWithStoppedClock(long millis) {
        context.beginTick(now);
        context.suspensions().clockStopped(millis);
        history.clockStopped(millis);
    }

    private void report(long version, long ageMillis, boolean exact) {
        history.receive(PEER, new PeerMessage.TargetAge(MODEL, version, ageMillis, exact));
    }

    private long ageOfReplacementOf(long version) {
        return history.millisSinceReplaced(MODEL, version);
    }

    private List<PeerMessage.TargetAge> reportsOf(long version) {
        return history.reports().stream()
                .filter(report -> report.version() == version)
                .toList();
    }

    @Test
    void should_measure_the_age_of_a_target_that_arrives_while_the_router_runs() {
        runSinceLongAgo();
        history.add(MODEL, 2, false);
        advance(3_000);
        assertThat(ageOfReplacementOf(1)).isEqualTo(3_000);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 3_000, true));
    }

    @Test
    void should_take_the_newest_target_for_not_replaced() {
        runSinceLongAgo();
        history.add(MODEL, 2, false);
        advance(3_000);
        assertThat(ageOfReplacementOf(2)).isZero();
        assertThat(history.millisSinceReplaced("other", 1)).isZero();
    }

    @Test
    void should_measure_from_the_first_target_after_a_version() {
        runSinceLongAgo();
        history.add(MODEL, 2, false);
        advance(3_000);
        history.add(MODEL, 4, false);
        advance(1_000);
        assertThat(ageOfReplacementOf(1)).isEqualTo(4_000);
        assertThat(ageOfReplacementOf(2)).isEqualTo(1_000);
        assertThat(ageOfReplacementOf(3)).isEqualTo(1_000);
    }

    @Test
    void should_take_a_target_for_as_old_as_a_peer_knows_it_to_be() {
        runSinceLongAgo();
        history.add(MODEL, 2, false);
        report(2, 2_500, false);
        advance(1_000);
        assertThat(ageOfReplacementOf(1)).isEqualTo(3_500);
        report(2, 100, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(3_500);
    }

    @Test
    void should_assume_that_a_target_found_after_a_suspension_was_set_when_it_began() {
        runSinceLongAgo();
        suspend(4_000);
        history.add(MODEL, 2, false);
        assertThat(ageOfReplacementOf(1)).isEqualTo(4_000);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 0, false));
    }

    @Test
    void should_assume_the_same_when_the_clock_stood_still() {
        runSinceLongAgo();
        suspendWithStoppedClock(4_000);
        history.add(MODEL, 2, false);
        assertThat(ageOfReplacementOf(1)).isEqualTo(4_000);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 0, false));
    }

    @Test
    void should_assume_nothing_of_a_target_that_arrives_long_after_a_suspension() {
        runSinceLongAgo();
        suspend(4_000);
        advance(3_000);
        history.add(MODEL, 2, false);
        assertThat(ageOfReplacementOf(1)).isZero();
    }

    @Test
    void should_let_known_targets_age_while_the_clock_stood_still() {
        runSinceLongAgo();
        history.add(MODEL, 2, false);
        advance(1_000);
        suspendWithStoppedClock(4_000);
        assertThat(ageOfReplacementOf(1)).isEqualTo(5_000);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 1_000, false));
    }

    @Test
    void should_end_the_assumption_with_an_exact_report() {
        runSinceLongAgo();
        suspend(4_000);
        history.add(MODEL, 2, false);
        advance(600);
        report(2, 1_200, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(1_200);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 1_200, true));
    }

    @Test
    void should_keep_the_assumption_after_a_report_of_a_router_that_was_disturbed_as_well() {
        runSinceLongAgo();
        suspend(4_000);
        history.add(MODEL, 2, false);
        advance(600);
        report(2, 1_200, false);
        assertThat(ageOfReplacementOf(1)).isEqualTo(4_600);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 1_200, false));
    }

    @Test
    void should_keep_the_assumption_after_a_report_that_may_have_waited_during_the_suspension() {
        runSinceLongAgo();
        suspend(4_000);
        history.add(MODEL, 2, false);
        report(2, 300, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(4_000);
    }

    @Test
    void should_assume_the_same_of_a_target_that_peers_report_before_the_store() {
        runSinceLongAgo();
        suspend(4_000);
        report(2, 300, true);
        history.add(MODEL, 2, false);
        assertThat(ageOfReplacementOf(1)).isEqualTo(4_000);
    }

    @Test
    void should_assume_that_a_target_found_at_the_start_was_set_long_ago() {
        context.beginTick(now);
        history.add(MODEL, 2, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(INITIAL_AGE_MILLIS);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 0, false));
        report(2, 700, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(700);
    }

    @Test
    void should_not_take_a_report_of_a_disturbed_router_for_exact_when_it_is_the_first_of_a_target() {
        context.beginTick(now);
        report(2, 500, false);
        assertThat(ageOfReplacementOf(1)).isEqualTo(INITIAL_AGE_MILLIS);
        history.add(MODEL, 2, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(INITIAL_AGE_MILLIS);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 500, false));
    }

    @Test
    void should_measure_the_age_itself_when_it_runs_and_a_disturbed_router_reports_first() {
        runSinceLongAgo();
        report(2, 0, false);
        advance(200);
        history.add(MODEL, 2, false);
        assertThat(ageOfReplacementOf(1)).isEqualTo(200);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 200, true));
    }

    @Test
    void should_report_targets_before_a_recent_one() {
        runSinceLongAgo();
        history.add(MODEL, 2, false);
        advance(15_000);
        assertThat(history.reports()).isEmpty();
        history.add(MODEL, 3, false);
        assertThat(reportsOf(2)).containsExactly(new PeerMessage.TargetAge(MODEL, 2, 15_000, true));
        assertThat(reportsOf(3)).containsExactly(new PeerMessage.TargetAge(MODEL, 3, 0, true));
    }

    @Test
    void should_learn_of_a_target_that_the_store_no_longer_holds() {
        context.beginTick(now);
        history.add(MODEL, 3, true);
        report(2, 15_000, true);
        report(3, 1_000, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(15_000);
        assertThat(ageOfReplacementOf(2)).isEqualTo(1_000);
    }

    @Test
    void should_assume_that_a_missed_target_is_old_when_no_report_of_it_is_exact() {
        context.beginTick(now);
        history.add(MODEL, 3, true);
        report(2, 2_000, false);
        report(3, 1_000, true);
        assertThat(ageOfReplacementOf(1)).isEqualTo(INITIAL_AGE_MILLIS);
        assertThat(ageOfReplacementOf(2)).isEqualTo(1_000);
    }

    @Test
    void should_keep_a_bounded_number_of_versions() {
        runSinceLongAgo();
        for (int version = 2; version < 50; version++) {
            history.add(MODEL, version, false);
        }
        assertThat(history.reports()).hasSize(8);
        assertThat(reportsOf(49)).hasSize(1);
    }

    @Test
    void should_measure_other_versions_the_same_after_a_report_of_a_version_that_no_operator_set() {
        runSinceLongAgo();
        history.add(MODEL, 2, false);
        report(99, 60_000, true);
        advance(1_000);
        assertThat(ageOfReplacementOf(1)).isEqualTo(1_000);
    }

    @Test
    void should_not_take_a_target_for_younger_after_a_report_of_a_negative_age() {
        runSinceLongAgo();
        report(2, -60_000, true);
        history.add(MODEL, 2, false);
        advance(1_000);
        assertThat(ageOfReplacementOf(1)).isEqualTo(1_000);
    }
}
