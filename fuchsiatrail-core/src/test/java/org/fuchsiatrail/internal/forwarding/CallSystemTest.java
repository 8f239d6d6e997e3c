package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallSystemTest {

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void withRecords() {
        fixture.configured()
                .list(fixture.records("one"))
                .list(fixture.records("two"))
                .start();
    }

    private void withTutors() {
        fixture.configured()
                .list(fixture.tutor("one", 1))
                .list(fixture.tutor("two", 1))
                .start();
    }

    @Test
    void should_refuse_as_not_run_before_a_configuration_is_known() {
        fixture.storeAnswers = false;
        fixture.start();
        fixture.pass(1_100);
        RequestId request = fixture.call("/read/1");
        assertThat(fixture.refusal(request))
                .get()
                .extracting(ForwardingOutput.Refuse::code)
                .isEqualTo(ResultCode.NOT_CONFIGURED);
        assertThat(fixture.core.ready()).isFalse();
    }

    @Test
    void should_refuse_an_unknown_path_and_an_unknown_key() {
        withRecords();
        RequestId lost = fixture.call("/nowhere/1");
        RequestId stranger = fixture.call("/read/1", "forged", List.of());
        assertThat(fixture.refusal(lost).orElseThrow().code()).isEqualTo(ResultCode.NOT_FOUND);
        assertThat(fixture.refusal(stranger).orElseThrow().code()).isEqualTo(ResultCode.UNAUTHORIZED);
        assertThat(fixture.all(ForwardingOutput.Send.class)).isEmpty();
    }

    @Test
    void should_never_send_a_call_again_that_may_have_run() {
        withRecords();
        RequestId request = fixture.call("/issue/1");
        fixture.lost(fixture.send(request), true, "");
        assertThat(fixture.sends(request)).hasSize(1);
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_send_a_call_elsewhere_that_its_upstream_did_not_run() {
        withRecords();
        RequestId request = fixture.call("/issue/1");
        ForwardingOutput.Send first = fixture.send(request);
        fixture.notRun(first);
        ForwardingOutput.Send second = fixture.send(request);
        assertThat(second.dispatch().upstream()).isNotEqualTo(first.dispatch().upstream());
        fixture.answered(second, 200);
        assertThat(fixture.delivered(request)).isTrue();
    }

    @Test
    void should_send_a_call_elsewhere_that_never_left() {
        withRecords();
        RequestId request = fixture.call("/issue/1");
        fixture.spoke(fixture.send(request), new AttemptEvent.Lost(false, false, "", "refused"));
        assertThat(fixture.sends(request)).hasSize(2);
    }

    @Test
    void should_never_tell_a_call_as_not_run_after_one_upstream_may_have_run_it() {
        withRecords();
        RequestId request = fixture.call("/read/1");
        fixture.lost(fixture.send(request), true, "");
        fixture.notRun(fixture.send(request));
        fixture.pass(1_000);
        assertThat(fixture.refusal(request).orElseThrow().code().mayHaveRun()).isTrue();
    }

    @Test
    void should_repeat_an_idempotent_call_that_its_upstream_failed() {
        withRecords();
        RequestId request = fixture.call("/read/1");
        fixture.answered(fixture.send(request), 500);
        assertThat(fixture.sends(request)).hasSize(2);
        fixture.answered(fixture.send(request), 500);
        assertThat(fixture.sends(request)).hasSize(2);
        assertThat(fixture.delivered(request)).isTrue();
    }

    @Test
    void should_deliver_the_failure_of_a_call_that_must_not_repeat() {
        withRecords();
        RequestId request = fixture.call("/issue/1");
        fixture.answered(fixture.send(request), 500);
        assertThat(fixture.sends(request)).hasSize(1);
        assertThat(fixture.delivered(request)).isTrue();
    }

    @Test
    void should_deliver_nothing_of_an_answer_that_is_not_the_requests_own() {
        withRecords();
        RequestId request = fixture.call("/issue/1");
        fixture.spoke(fixture.send(request), new AttemptEvent.Answered(ForwardingFixture.head(200, false, false)));
        assertThat(fixture.delivered(request)).isFalse();
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_repeat_an_idempotent_call_that_hangs() {
        withRecords();
        fixture.pass(CallTiming.WARM_UP_MILLIS);
        RequestId request = fixture.call("/read/1");
        fixture.pass(250);
        assertThat(fixture.sends(request)).hasSize(2);
        assertThat(fixture.all(ForwardingOutput.Cancel.class)).hasSize(1);
    }

    @Test
    void should_blame_no_upstream_while_the_router_itself_has_just_started() {
        withRecords();
        RequestId request = fixture.call("/read/1");
        fixture.pass(250);
        assertThat(fixture.sends(request)).hasSize(1);
    }

    @Test
    void should_wait_longer_for_an_attempt_when_the_router_itself_is_behind() {
        withRecords();
        fixture.pass(CallTiming.WARM_UP_MILLIS);
        RequestId request = fixture.call("/read/1");
        fixture.now += 250;
        fixture.tick();
        assertThat(fixture.sends(request)).hasSize(1);
        fixture.pass(130);
        assertThat(fixture.sends(request)).hasSize(2);
    }

    @Test
    void should_learn_other_weights_from_a_refusal_and_send_again_at_once() {
        withTutors();
        RequestId request = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        fixture.spoke(
                fixture.send(request),
                new AttemptEvent.Answered(
                        new AttemptEvent.Head(421, false, true, Optional.empty(), OptionalLong.of(2))));
        assertThat(fixture.sends(request)).hasSize(2);
        assertThat(fixture.send(request).dispatch().weightsVersion()).hasValue(2);
    }

    @Test
    void should_give_a_lost_engine_no_new_work_before_it_has_answered_a_probe() {
        withTutors();
        RequestId request = fixture.call("/mark/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        UpstreamId lost = fixture.send(request).dispatch().upstream();
        fixture.lost(fixture.send(request), true, "");
        for (int round = 0; round < 10; round++) {
            fixture.pass(1_000);
            RequestId next = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
            assertThat(fixture.send(next).dispatch().upstream()).isNotEqualTo(lost);
            fixture.finish(fixture.send(next));
        }
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).hasSizeGreaterThan(5);
        fixture.tick(new ForwardingInput.OrderAnswered(
                lost, new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L))));
        RequestId again = fixture.call("/mark/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        fixture.lost(fixture.send(again), true, "");
        RequestId last = fixture.call("/mark/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        assertThat(fixture.send(last).dispatch().upstream()).isEqualTo(lost);
    }

    @Test
    void should_answer_at_the_routes_timeout_when_the_upstream_hangs() {
        withRecords();
        RequestId request = fixture.call("/issue/1");
        fixture.pass(799);
        assertThat(fixture.refusal(request)).isEmpty();
        fixture.pass(50);
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.TIMED_OUT);
    }

    @Test
    void should_resume_a_broken_stream_elsewhere_after_its_last_event() {
        withTutors();
        RequestId request = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        ForwardingOutput.Send first = fixture.send(request);
        fixture.started(first);
        fixture.lost(first, true, "17");
        ForwardingOutput.Send second = fixture.send(request);
        assertThat(second.dispatch().upstream()).isNotEqualTo(first.dispatch().upstream());
        assertThat(second.dispatch().resumeAfter()).isEqualTo("17");
        fixture.started(second);
        fixture.spoke(second, new AttemptEvent.Finished());
        assertThat(fixture.brokenOff(request)).isFalse();
    }

    @Test
    void should_resume_a_stream_that_stands_still_after_its_last_event() {
        withTutors();
        fixture.pass(CallTiming.WARM_UP_MILLIS);
        RequestId request = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        ForwardingOutput.Send first = fixture.send(request);
        fixture.started(first);
        fixture.spoke(first, new AttemptEvent.Progressed("9"));
        fixture.pass(1_100);
        assertThat(fixture.sends(request)).hasSize(2);
        assertThat(fixture.send(request).dispatch().resumeAfter()).isEqualTo("9");
    }

    @Test
    void should_break_off_a_stream_that_may_not_resume() {
        withTutors();
        RequestId request = fixture.call("/mark/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        ForwardingOutput.Send only = fixture.send(request);
        fixture.started(only);
        fixture.lost(only, true, "3");
        assertThat(fixture.sends(request)).hasSize(1);
        assertThat(fixture.brokenOff(request)).isTrue();
    }

    @Test
    void should_give_no_new_work_to_an_upstream_that_drains() {
        withRecords();
        fixture.list(ForwardingFixture.entry("one", "records", 6, Map.of(), true, 1));
        for (int each = 0; each < 10; each++) {
            assertThat(fixture.send(fixture.call("/read/1"))
                            .dispatch()
                            .upstream()
                            .value())
                    .isEqualTo("two");
        }
    }

    @Test
    void should_cancel_a_stream_whose_caller_left_and_let_a_call_finish_that_must_not_repeat() {
        withRecords();
        fixture.list(fixture.tutor("engine", 1));
        RequestId stream = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        RequestId once = fixture.call("/issue/1");
        fixture.tick(new ForwardingInput.CallerDisconnected(stream), new ForwardingInput.CallerDisconnected(once));
        assertThat(fixture.all(ForwardingOutput.Cancel.class))
                .containsExactly(
                        new ForwardingOutput.Cancel(fixture.send(stream).attempt()));
    }

    @Test
    void should_refuse_within_an_eighth_of_the_objective_when_no_upstream_is_usable() {
        fixture.configured().start();
        RequestId request = fixture.call("/issue/1");
        fixture.pass(300 / 8);
        ForwardingOutput.Refuse refusal = fixture.refusal(request).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ResultCode.NO_UPSTREAM);
        assertThat(refusal.retryAfterMillis()).isPositive();
    }

    @Test
    void should_serve_on_after_a_stop_was_asked_until_the_balancer_noticed() {
        withRecords();
        fixture.tick(new ForwardingInput.StopRequested());
        assertThat(fixture.core.ready()).isFalse();
        RequestId late = fixture.call("/read/1");
        fixture.answered(fixture.send(late), 200);
        fixture.pass(2_000);
        assertThat(fixture.all(ForwardingOutput.Stopped.class)).isEmpty();
        fixture.pass(2_000);
        assertThat(fixture.all(ForwardingOutput.Stopped.class)).hasSize(1);
    }

    @Test
    void should_refuse_as_not_run_what_comes_too_late_to_end_before_a_stop() {
        withRecords();
        fixture.list(fixture.tutor("engine", 1));
        RequestId running = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        fixture.tick(new ForwardingInput.StopRequested());
        fixture.pass(3_100);
        RequestId late = fixture.call("/issue/1");
        assertThat(fixture.refusal(late).orElseThrow().code()).isEqualTo(ResultCode.STOPPING);
        assertThat(fixture.all(ForwardingOutput.Stopped.class)).isEmpty();
        fixture.finish(fixture.send(running));
        fixture.pass(500);
        assertThat(fixture.all(ForwardingOutput.Stopped.class)).hasSize(1);
    }

    @Test
    void should_never_go_back_to_an_older_configuration() {
        withRecords();
        fixture.relay("configuration", 90, new StoreItemContent.Routing(ForwardingFixture.table(9)));
        fixture.relay("configuration", 50, new StoreItemContent.Routing(ForwardingFixture.table(5)));
        assertThat(fixture.core.routing().orElseThrow().version()).isEqualTo(9);
    }

    @Test
    void should_keep_upstreams_whose_entries_lapsed_with_the_store_for_two_seconds() {
        withRecords();
        fixture.storeAnswers = false;
        fixture.pass(22_000);
        fixture.storeAnswers = true;
        fixture.relay("servers/one", 80, new StoreItemContent.Removed());
        fixture.relay("servers/two", 81, new StoreItemContent.Removed());
        assertThat(fixture.sends(fixture.call("/issue/1"))).hasSize(1);
        fixture.pass(2_300);
        assertThat(fixture.sends(fixture.call("/issue/2"))).isEmpty();
    }

    @Test
    void should_separate_cached_parts_by_weights_and_by_isolated_customer() {
        withTutors();
        RequestId shared = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        RequestId apart = fixture.call("/ask/1", "key-2", ForwardingFixture.prompt("c", "s", "o"));
        assertThat(fixture.send(shared).dispatch().cacheSalt()).isEqualTo("w1");
        assertThat(fixture.send(apart).dispatch().cacheSalt()).isEqualTo("w1/apart");
        assertThat(fixture.send(shared).dispatch().weightsVersion()).hasValue(1);
    }

    @Test
    void should_hold_requests_that_arrive_before_the_configuration_was_read() {
        fixture.configured().list(fixture.records("one"));
        fixture.storeAnswers = false;
        fixture.start();
        RequestId early = fixture.call("/read/1");
        assertThat(fixture.refusal(early)).isEmpty();
        fixture.pass(100);
        fixture.relay("servers/one", 5, new StoreItemContent.Upstream(fixture.records("one")));
        fixture.relay("configuration", 6, new StoreItemContent.Routing(ForwardingFixture.table(3)));
        assertThat(fixture.sends(early)).hasSize(1);
    }

    @Test
    void should_refuse_a_held_request_soon_when_no_configuration_comes() {
        fixture.storeAnswers = false;
        fixture.start();
        RequestId early = fixture.call("/read/1");
        fixture.pass(300);
        assertThat(fixture.refusal(early)).isPresent();
        fixture.pass(1_000);
        assertThat(fixture.refusal(fixture.call("/read/2"))).isPresent();
    }
}
