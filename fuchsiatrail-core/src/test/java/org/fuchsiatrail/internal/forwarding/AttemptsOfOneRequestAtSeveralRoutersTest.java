package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RelayAllowance;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards that the attempts of a request count as one account, whichever routers make them. Routes allow two. */
class AttemptsOfOneRequestAtSeveralRoutersTest {

    private static final RelayAllowance ALL_LEFT = new RelayAllowance(true, 2, false, List.of());
    private static final RelayAllowance LAST_LEFT = new RelayAllowance(true, 1, true, List.of());

    private final ForwardingFixture router = new ForwardingFixture();

    private void start(boolean relaysBoundAttempts, int relays, String... upstreams) {
        router.configured();
        for (String upstream : upstreams) {
            router.register(router.recordService(upstream));
        }
        for (int number = 2; number < 2 + relays; number++) {
            EntryVm vm = new EntryVm(
                    new EntryVmId("vm-" + number), new FailureDomain("lima-b"), "10.0.0.2:700" + number, false);
            router.put(
                    "members/vm-" + number,
                    new StoreItemContent.Member(vm, "10.0.0.2:80" + number, true, relaysBoundAttempts));
        }
        router.start();
    }

    /** Submits a request that no upstream can be sent, and returns its attempt at another router. */
    private ForwardingOutput.Send relayed(RequestId request) {
        for (int unsent = 0; unsent < CallTiming.UNSENT_BEFORE_RELAY; unsent++) {
            ForwardingOutput.Send send = router.send(request);
            if (!send.dispatch().toRouter()) {
                router.lost(send, false, "");
            }
        }
        return router.send(request);
    }

    private RequestId relay(String path, RelayAllowance allowance) {
        ForwardedCall call = new ForwardedCall(
                "a-1",
                ForwardingFixture.HOST,
                path,
                ForwardingFixture.KEY,
                10_000,
                ForwardingFixture.MODEL,
                0,
                0,
                List.of(),
                "",
                "",
                Optional.empty(),
                path.hashCode());
        Dispatch dispatch = new Dispatch(
                new UpstreamId("router/vm-1"),
                "10.0.0.1:80",
                10_000,
                Optional.empty(),
                OptionalLong.empty(),
                "",
                OptionalInt.empty(),
                "",
                "",
                Optional.of(allowance),
                Optional.empty(),
                Optional.empty());
        return router.relay(call, dispatch);
    }

    private void assertRefused(RequestId request, ResultCode code) {
        assertThat(router.refusal(request))
                .hasValueSatisfying(refusal -> assertThat(refusal.code()).isEqualTo(code));
    }

    @Test
    void should_count_a_router_that_ends_as_one_attempt_and_no_more() {
        start(true, 3, "one", "two");
        RequestId request = router.call("/read/1");
        ForwardingOutput.Send first = relayed(request);
        assertThat(first.dispatch().relay().orElseThrow().attemptsLeft()).isEqualTo(2);
        router.lost(first, true, "");
        ForwardingOutput.Send second = router.send(request);
        assertThat(second.dispatch().upstream()).isNotEqualTo(first.dispatch().upstream());
        assertThat(second.dispatch().relay().orElseThrow().attemptsLeft()).isEqualTo(1);
        assertThat(second.dispatch().relay().orElseThrow().repeated()).isTrue();
        router.lost(second, true, "");
        assertRefused(request, ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_count_a_router_of_an_older_build_that_ends_as_all_attempts() {
        start(false, 3, "one", "two");
        RequestId request = router.call("/read/1");
        router.lost(relayed(request), true, "");
        assertRefused(request, ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_relay_no_request_that_may_have_run_to_a_router_of_an_older_build() {
        start(false, 1, "one");
        RequestId request = router.call("/read/1");
        router.lost(router.send(request), true, "");
        assertThat(router.sends(request)).noneMatch(send -> send.dispatch().toRouter());
    }

    @Test
    void should_tell_a_router_of_the_attempt_that_was_made_before() {
        start(true, 1, "one");
        RequestId request = router.call("/read/1");
        router.lost(router.send(request), true, "");
        RelayAllowance allowance = router.send(request).dispatch().relay().orElseThrow();
        assertThat(allowance).isEqualTo(new RelayAllowance(true, 1, true, List.of(new UpstreamId("one"))));
    }

    @Test
    void should_send_a_request_again_whose_attempt_another_router_lost_and_tell_where() {
        start(true, 1, "one", "two");
        RequestId request = router.call("/read/1");
        AttemptEvent.Head lost = AttemptEvent.Head.builder(502)
                .lostAt(Optional.of(new UpstreamId("three")))
                .build();
        router.deliverEvent(relayed(request), new AttemptEvent.Answered(lost));
        RelayAllowance second = router.send(request).dispatch().relay().orElseThrow();
        assertThat(second.attemptsLeft()).isEqualTo(1);
        assertThat(second.triedUpstreams()).contains(new UpstreamId("three"));
        router.deliverEvent(router.send(request), new AttemptEvent.Answered(lost));
        assertRefused(request, ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_make_a_single_attempt_for_another_router_and_report_its_loss() {
        start(true, 0, "one", "two", "three");
        RequestId request = relay("/read/1", ALL_LEFT);
        router.lost(router.send(request), true, "");
        assertThat(router.sends(request)).hasSize(1);
        assertRefused(request, ResultCode.ATTEMPT_LOST);
    }

    @Test
    void should_report_an_unknown_outcome_once_the_last_attempt_is_lost() {
        start(true, 0, "one", "two", "three");
        RequestId request = relay("/read/1", LAST_LEFT);
        router.lost(router.send(request), true, "");
        assertRefused(request, ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_close_the_connection_of_a_router_of_an_older_build_whose_attempt_is_lost() {
        start(true, 0, "one", "two", "three");
        RequestId request = relay("/read/1", RelayAllowance.UNTOLD);
        router.lost(router.send(request), true, "");
        assertThat(router.sends(request)).hasSize(1);
        assertThat(router.all(ForwardingOutput.AbortStream.class))
                .extracting(ForwardingOutput.AbortStream::request)
                .containsExactly(request);
    }

    @ParameterizedTest
    @ValueSource(ints = {421, 503})
    void should_not_count_what_an_upstream_did_not_execute(int status) {
        start(true, 0, "one", "two", "three");
        RequestId request = relay("/read/1", LAST_LEFT);
        AttemptEvent.Head notExecuted = AttemptEvent.Head.builder(status)
                .verified(true)
                .notExecuted(true)
                .build();
        router.deliverEvent(router.send(request), new AttemptEvent.Answered(notExecuted));
        assertThat(router.sends(request)).hasSize(2);
        router.lost(router.send(request), true, "");
        assertThat(router.sends(request)).hasSize(2);
        assertRefused(request, ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_try_none_of_the_upstreams_that_the_other_router_names() {
        start(true, 0, "one", "two", "three");
        List<UpstreamId> tried = List.of(new UpstreamId("one"), new UpstreamId("three"));
        RequestId request = relay("/read/1", new RelayAllowance(true, 1, true, tried));
        assertThat(router.send(request).dispatch().upstream()).isEqualTo(new UpstreamId("two"));
    }

    @Test
    void should_not_replace_a_silent_begun_stream_of_another_router() {
        router.configured();
        for (String engine : List.of("one", "two", "three")) {
            router.register(router.engine(engine, 1));
        }
        router.start();
        router.advanceTime(CallTiming.WARM_UP_MILLIS);
        RequestId request = relay("/ask/1", ALL_LEFT);
        router.deliverEvent(
                router.send(request), new AttemptEvent.Started(ForwardingFixture.head(200, true, false), "1"));
        router.advanceTime(4 * CallTiming.STREAM_IDLE_TIMEOUT_MILLIS);
        assertThat(router.sends(request)).hasSize(1);
    }
}
