package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
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

/** Guards against streams that must not be repeated and wait at a dark engine until the deadlines of their callers. */
class UnrepeatableStreamAtDarkEngineTest {

    private static final long STEP_MILLIS = 50;
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    /** More than the time for which a removed entry of an upstream may be missing without its end. */
    private static final long ENTRY_GRACE_MILLIS = 3_000;
    /** The least number of routers with relays among them. */
    private static final int ROUTERS = 13;

    private final ForwardingFixture router = new ForwardingFixture("vm-1", "lima-a", true).configured();
    private final List<RequestId> requests = new ArrayList<>();
    private final String silent;
    private int probesAnswered;
    private int lastNumber;

    UnrepeatableStreamAtDarkEngineTest() {
        for (int number = 1; number <= ROUTERS; number++) {
            EntryVm member = new ForwardingFixture("vm-" + number).self();
            router.put("members/vm-" + number, new StoreItemContent.Member(member));
        }
        for (int number = 1; number <= 4; number++) {
            router.register(router.engine("engine-" + number, 1));
        }
        router.start();
        router.advanceTime(5_000);
        for (int number = 0; number < 8; number++) {
            requests.add(router.call("/mark/" + number));
        }
        silent = engine(requests.getFirst());
    }

    private String engine(RequestId request) {
        return router.send(request).dispatch().upstream().value();
    }

    private List<RequestId> atSilent() {
        return requests.stream()
                .filter(request -> engine(request).equals(silent))
                .toList();
    }

    /** Answers new streams of other engines at once, and all probes as a dark or a sound engine does. */
    private void pass(long millis, boolean dark, boolean silentAnswersProbes) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            RequestId other = router.call("/mark/other-" + ++lastNumber);
            if (!engine(other).equals(silent)) {
                router.finish(router.send(other));
            }
            router.advanceTime(STEP_MILLIS);
            answerProbes(dark, silentAnswersProbes);
        }
    }

    private void answerProbes(boolean dark, boolean silentAnswersProbes) {
        List<ForwardingOutput.QueryEngineState> probes = router.all(ForwardingOutput.QueryEngineState.class);
        for (; probesAnswered < probes.size(); probesAnswered++) {
            UpstreamId engine = probes.get(probesAnswered).engine();
            boolean ofSilent = engine.value().equals(silent);
            if (!ofSilent || silentAnswersProbes) {
                router.tick(new ForwardingInput.OrderAnswered(
                        engine, new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L))));
            } else if (dark) {
                router.advanceTime(CONNECT_TIMEOUT_MILLIS / 2);
                RequestId other = router.call("/mark/beside-" + ++lastNumber);
                if (!engine(other).equals(silent)) {
                    router.finish(router.send(other));
                }
                router.advanceTime(CONNECT_TIMEOUT_MILLIS / 2);
                router.tick(new ForwardingInput.OrderAnswered(
                        engine, new OrderReply.NotConnected("connection timed out", false)));
            }
        }
    }

    @Test
    void should_end_them_within_a_second_when_no_connection_to_their_engine_is_established() {
        List<RequestId> waiting = atSilent();
        pass(700, true, false);
        assertThat(waiting).isNotEmpty().allSatisfy(request -> {
            assertThat(router.refusal(request)).isPresent();
            assertThat(router.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
            assertThat(router.all(ForwardingOutput.Cancel.class))
                    .contains(new ForwardingOutput.Cancel(router.send(request).attempt()));
            assertThat(router.sends(request)).hasSize(1);
        });
    }

    @Test
    void should_leave_the_same_evidence_of_a_crash_as_streams_that_end_with_their_engine() {
        List<RequestId> waiting = atSilent();
        pass(2_500, false, false);
        assertThat(waiting)
                .allSatisfy(request -> assertThat(router.refusal(request)).isPresent());
        router.remove("servers/" + silent);
        router.advanceTime(ENTRY_GRACE_MILLIS);
        long sentToSilent = router.all(ForwardingOutput.Send.class).stream()
                .filter(send -> send.dispatch().upstream().value().equals(silent))
                .count();
        assertThat(router.all(ForwardingOutput.LogEvent.class).stream()
                        .filter(event -> event.message().equals("Upstream crash attributed to a request."))
                        .map(event -> event.fields().get("fingerprint"))
                        .distinct())
                .hasSize(Math.toIntExact(sentToSilent));
    }

    @Test
    void should_send_no_more_requests_to_an_engine_that_is_dark() {
        pass(700, true, false);
        int before = router.all(ForwardingOutput.Send.class).size();
        pass(1_000, true, false);
        assertThat(router.all(ForwardingOutput.Send.class).stream()
                        .skip(before)
                        .filter(send -> send.dispatch().upstream().value().equals(silent)))
                .isEmpty();
    }

    @Test
    void should_keep_them_at_an_engine_that_is_slow_but_answers_probes() {
        List<RequestId> waiting = atSilent();
        pass(5_000, false, true);
        assertThat(waiting)
                .allSatisfy(request -> assertThat(router.refusal(request)).isEmpty());
    }

    @Test
    void should_keep_them_at_an_engine_that_is_silent_for_a_second_and_goes_on() {
        List<RequestId> waiting = atSilent();
        pass(1_300, false, false);
        waiting.forEach(request -> router.finish(router.send(request)));
        assertThat(waiting).allSatisfy(request -> {
            assertThat(router.refusal(request)).isEmpty();
            assertThat(router.delivered(request)).isTrue();
        });
    }

    @Test
    void should_end_them_before_the_deadline_when_the_engine_answers_neither_requests_nor_probes() {
        List<RequestId> waiting = atSilent();
        pass(2_500, false, false);
        assertThat(waiting)
                .hasSizeGreaterThan(1)
                .allSatisfy(request -> assertThat(router.refusal(request)).isPresent());
    }

    /** The service of a call that must not be repeated is not asked again after an unknown outcome. */
    @Test
    void should_not_end_calls_whose_callers_may_not_ask_again() {
        for (int number = 1; number <= 3; number++) {
            router.register(router.recordService("service-" + number));
        }
        RequestId call = router.call("/issue/1");
        router.advanceTime(600);
        assertThat(router.refusal(call)).isEmpty();
    }

    @Test
    void should_not_end_them_while_connections_to_most_engines_time_out() {
        List<RequestId> waiting = atSilent();
        for (RequestId request : requests) {
            if (!engine(request).equals(silent)) {
                router.deliverEvent(
                        router.send(request), new AttemptEvent.Lost(false, false, "", "connection timed out"));
            }
        }
        router.advanceTime(600);
        assertThat(waiting)
                .allSatisfy(request -> assertThat(router.refusal(request)).isEmpty());
    }
}
