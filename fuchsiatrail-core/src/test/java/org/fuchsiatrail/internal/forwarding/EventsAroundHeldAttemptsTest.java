package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that are cut, and events that are repeated, because a held attempt and its replacement have
 * events in an unexpected order.
 */
class EventsAroundHeldAttemptsTest {

    private static ForwardingFixture engines(String... names) {
        ForwardingFixture router = new ForwardingFixture().configured();
        for (String name : names) {
            router.register(router.engine(name, 1));
        }
        router.start();
        router.advanceTime(CallTiming.WARM_UP_MILLIS);
        return router;
    }

    private static void progress(ForwardingFixture router, ForwardingOutput.Send send, String id) {
        router.deliverEvent(send, new AttemptEvent.Progressed(id));
    }

    private static long logged(ForwardingFixture router, String message) {
        return router.all(ForwardingOutput.LogEvent.class).stream()
                .filter(line -> line.message().equals(message))
                .count();
    }

    private static boolean delivered(ForwardingFixture router, ForwardingOutput.Send send) {
        return router.outputs.contains(new ForwardingOutput.Deliver(send.request(), send.attempt()));
    }

    @Test
    void should_not_send_an_event_twice_when_a_held_attempt_is_lost_with_a_newer_event() {
        ForwardingFixture router = engines("one", "two", "three");
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        progress(router, first, "5");
        router.advanceTime(1_020);
        ForwardingOutput.Send second = router.send(request);
        assertThat(second).isNotEqualTo(first);
        assertThat(second.dispatch().resumeAfterEventId()).isEqualTo("5");
        // The network side has passed event 6 on before it reports this loss.
        router.deliverEvent(first, new AttemptEvent.Lost(true, true, "6", "the caller reads too slowly"));
        router.deliverEvent(second, new AttemptEvent.Started(ForwardingFixture.head(200, true, false), "6"));
        assertThat(delivered(router, second))
                .as("event 6 delivered a second time")
                .isFalse();
    }

    @Test
    void should_hold_a_relayed_request_at_most_a_few_times() {
        ForwardingFixture router = engines("one", "two", "three", "four");
        RequestId template = router.call("/ask/template");
        ForwardedCall call = router.calls.get(template);
        ForwardingOutput.Send sent = router.send(template);
        router.finish(sent);
        Map<String, ForwardingOutput.Send> sendByEngine = new HashMap<>();
        List<ForwardingOutput.Send> extra = new ArrayList<>();
        for (int number = 0; number < 12 && sendByEngine.size() < 4; number++) {
            ForwardingOutput.Send send = router.send(router.relay(call, sent.dispatch()));
            if (sendByEngine.putIfAbsent(send.dispatch().upstream().value(), send) != null) {
                extra.add(send);
            }
        }
        assertThat(sendByEngine).hasSize(4);
        sendByEngine.values().forEach(router::started);
        extra.forEach(router::finish);
        // One engine has no stream left and has a place.
        ForwardingOutput.Send idle = sendByEngine.remove("four");
        router.deliverEvent(idle, new AttemptEvent.Finished());
        router.advanceTime(10);
        sendByEngine.values().forEach(send -> progress(router, send, "2"));
        long suspectedBefore = logged(router, "Upstream suspected.");
        router.advanceTime(1_990);
        assertThat(logged(router, "Silent attempt held until another one has begun."))
                .isLessThanOrEqualTo(3 * CallTiming.MAXIMUM_SENDS);
    }

    @Test
    void should_hold_an_attempt_at_another_router_at_most_a_few_times() {
        ForwardingFixture router = engines("one", "two", "three");
        EntryVm vm = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        router.put("members/vm-2", new StoreItemContent.Member(vm, "10.0.0.2:80"));
        router.advanceTime(50);
        RequestId request = router.call("/ask/1");
        router.lost(router.send(request), false, "");
        router.lost(router.send(request), false, "");
        ForwardingOutput.Send relayed = router.send(request);
        assertThat(relayed.dispatch().toRouter()).isTrue();
        router.started(relayed);
        progress(router, relayed, "2");
        int queries = router.all(ForwardingOutput.SendToPeer.class).size();
        router.advanceTime(2_000);
        assertThat(logged(router, "Silent attempt held until another one has begun."))
                .isLessThanOrEqualTo(CallTiming.MAXIMUM_SENDS);
    }

    @Test
    void should_wait_for_a_place_after_a_held_attempt_breaks() {
        ForwardingFixture router = engines("one", "two", "three");
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        progress(router, first, "5");
        router.advanceTime(1_020);
        ForwardingOutput.Send second = router.send(request);
        assertThat(second).isNotEqualTo(first);
        router.advanceTime(780);
        router.lost(first, true, "5");
        router.advanceTime(40);
        // The third engine refuses another request, so that it gets none for 40 ms.
        for (int number = 0; number < 12; number++) {
            ForwardingOutput.Send send = router.send(router.call("/ask/other-" + number));
            String engine = send.dispatch().upstream().value();
            if (!engine.equals(second.dispatch().upstream().value())
                    && !engine.equals(first.dispatch().upstream().value())) {
                router.answerNotExecuted(send);
                break;
            }
        }
        router.answerNotExecuted(second);
        assertThat(router.isAborted(request)).isFalse();
        router.advanceTime(60);
        assertThat(router.sends(request)).hasSize(3);
    }

    @Test
    void should_leave_nothing_behind_when_the_caller_leaves_with_two_attempts() {
        ForwardingFixture router = engines("one", "two", "three");
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        router.advanceTime(1_020);
        ForwardingOutput.Send second = router.send(request);
        assertThat(second).isNotEqualTo(first);
        router.tick(new ForwardingInput.CallerDisconnected(request));
        assertThat(router.outputs)
                .contains(new ForwardingOutput.Cancel(first.attempt()), new ForwardingOutput.Cancel(second.attempt()));
    }

    private static ForwardingFixture enginesWithThreeAttempts(String... names) {
        ForwardingFixture router = engines(names);
        router.put(
                "configuration",
                new StoreItemContent.Routing(new RoutingTable(
                        2,
                        List.of(ForwardingFixture.route("/ask/", RequestKind.STREAM, true, 3, "tutors")),
                        List.of(new ServiceDefinition(
                                "tutors",
                                300,
                                Optional.of(new ServiceDefinition.EngineTraits(64, 100_000, 163_840, 550_000)),
                                Optional.empty())),
                        List.of(new CustomerEntry(
                                new CustomerId("huaman"), List.of(ForwardingFixture.KEY), OptionalInt.empty(), false)),
                        CallerLimits.DEFAULTS)));
        router.advanceTime(50);
        return router;
    }

    private static void playRefusalOfUnbegunHeldAttempt(int refusedSends) {
        ForwardingFixture router = enginesWithThreeAttempts("one", "two", "three", "four", "five");
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        progress(router, first, "5");
        router.lost(first, true, "5");
        for (int number = 0; number < refusedSends; number++) {
            router.answerNotExecuted(router.send(request));
        }
        ForwardingOutput.Send second = router.send(request);
        router.advanceTime(800);
        ForwardingOutput.Send third = router.send(request);
        assertThat(third).as("replacement").isNotEqualTo(second);
        router.answerNotExecuted(second);
        assertThat(router.isAborted(request)).as("stream cut").isFalse();
        assertThat(router.outputs)
                .as("replacement in flight")
                .doesNotContain(new ForwardingOutput.Cancel(third.attempt()));
    }

    @Test
    void should_keep_the_replacement_when_an_unbegun_held_attempt_is_refused() {
        playRefusalOfUnbegunHeldAttempt(0);
    }

    @Test
    void should_cut_no_stream_when_an_unbegun_held_attempt_is_refused_after_the_last_send() {
        playRefusalOfUnbegunHeldAttempt(1);
    }

    @Test
    void should_report_a_stream_as_bound_that_cannot_be_sent_again_after_its_replacement_was_cancelled() {
        ForwardingFixture router = engines("one", "two", "three");
        EntryVm vm = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        router.put("members/vm-2", new StoreItemContent.Member(vm, "10.0.0.2:80"));
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        progress(router, first, "5");
        router.advanceTime(1_020);
        assertThat(router.send(request)).isNotEqualTo(first);
        progress(router, first, "6");
        router.advanceTime(900);
        progress(router, first, "7");
        router.advanceTime(900);
        List<Integer> bound = router.all(ForwardingOutput.SendToPeer.class).stream()
                .flatMap(update -> update.message().work().stream())
                .map(PeerMessage.UpstreamWork::bound)
                .toList();
        assertThat(bound.getLast()).as("streams that cannot go on elsewhere").isEqualTo(1);
    }

    @Test
    void should_attribute_no_crash_to_a_held_request_that_completed() {
        ForwardingFixture router = engines("one", "two", "three");
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        progress(router, first, "5");
        router.advanceTime(1_020);
        assertThat(router.send(request)).isNotEqualTo(first);
        progress(router, first, "6");
        router.deliverEvent(first, new AttemptEvent.Finished());
        router.remove("servers/" + first.dispatch().upstream().value());
        router.advanceTime(3_000);
        assertThat(logged(router, "Upstream crash attributed to a request.")).isZero();
    }

    /** The replacement is cancelled while the connection is still being established. */
    @Test
    void should_not_count_a_replacement_that_was_never_sent() {
        ForwardingFixture router = engines("one", "two", "three");
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        progress(router, first, "5");
        router.advanceTime(1_020);
        ForwardingOutput.Send second = router.send(request);
        assertThat(second).isNotEqualTo(first);
        progress(router, first, "6");
        router.deliverEvent(second, new AttemptEvent.Lost(false, false, "", "cancelled before it was sent"));
        router.advanceTime(200);
        router.lost(first, true, "6");
        assertThat(router.isAborted(request)).isFalse();
    }

    @Test
    void should_end_both_attempts_at_the_deadline() {
        ForwardingFixture router = engines("one", "two", "three");
        RequestId request = router.call("/ask/1");
        ForwardingOutput.Send first = router.send(request);
        router.started(first);
        progress(router, first, "5");
        router.advanceTime(8_700);
        progress(router, first, "6");
        router.advanceTime(1_020);
        ForwardingOutput.Send second = router.send(request);
        assertThat(second).isNotEqualTo(first);
        router.advanceTime(400);
        assertThat(router.isAborted(request)).isTrue();
        assertThat(router.outputs)
                .contains(new ForwardingOutput.Cancel(first.attempt()), new ForwardingOutput.Cancel(second.attempt()));
        router.deliverEvent(first, new AttemptEvent.Finished());
        router.deliverEvent(second, new AttemptEvent.Finished());
    }
}
