package org.fuchsiatrail.internal.forwarding;

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
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RelayAllowance;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that are relayed to a router which is stopping, and cut at the end of its grace period. */
class RelayedStreamCutByStopTest {

    private final ForwardingFixture cutOff = new ForwardingFixture("vm-1", "lima-a");
    private final ForwardingFixture stopping = new ForwardingFixture("vm-2", "lima-b");

    private void startRouters() {
        cutOff.configured().register(cutOff.engine("one", 1));
        registerRouter("vm-2");
        cutOff.start();
        stopping.configured().register(stopping.engine("one", 1)).register(stopping.engine("two", 1));
        stopping.register(stopping.recordService("record")).start();
        stopping.tick(new ForwardingInput.StopRequested());
    }

    private void registerRouter(String name) {
        EntryVm vm = new EntryVm(new EntryVmId(name), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        cutOff.put("members/" + name, new StoreItemContent.Member(vm, "10.0.0.2:80" + name.charAt(3)));
    }

    private RequestId ask() {
        return cutOff.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("course", "session", "part"));
    }

    /** Passes the refusal of a relayed request on as the wire does. */
    private void refuse(ForwardingOutput.Send relayed, ForwardingOutput.Refuse refusal) {
        AttemptEvent.Head head = AttemptEvent.Head.builder(refusal.code().httpStatus())
                .withoutPath(refusal.code() == ResultCode.WITHOUT_PATH)
                .notSent(true)
                .build();
        cutOff.deliverEvent(relayed, new AttemptEvent.Answered(head));
    }

    @Test
    void should_let_a_broken_stream_go_on_at_a_router_that_does_not_stop() {
        startRouters();
        RequestId request = ask();
        cutOff.started(cutOff.send(request));
        cutOff.advanceTime(10);
        cutOff.lost(cutOff.send(request), true, "1");
        ForwardingOutput.Send relayed = cutOff.send(request);
        assertThat(relayed.dispatch().upstream().value()).isEqualTo("router/vm-2");
        registerRouter("vm-3");
        cutOff.advanceTime(10);

        RequestId atStopping = stopping.relay(cutOff.calls.get(request), relayed.dispatch());
        assertThat(stopping.refusal(atStopping).map(ForwardingOutput.Refuse::code))
                .contains(ResultCode.WITHOUT_PATH);
        refuse(relayed, stopping.refusal(atStopping).orElseThrow());

        ForwardingOutput.Send next = cutOff.send(request);
        assertThat(next.dispatch().upstream().value()).isEqualTo("router/vm-3");
        assertThat(next.dispatch().resumeAfterEventId()).isEqualTo("1");
        cutOff.deliverEvent(next, new AttemptEvent.Started(ForwardingFixture.head(200, true, false), "2"));
        cutOff.deliverEvent(next, new AttemptEvent.Finished());
        assertThat(cutOff.isAborted(request)).as("stream cut").isFalse();
    }

    @Test
    void should_not_refuse_a_stream_that_a_stopping_router_refuses_while_another_router_goes_on() {
        startRouters();
        RequestId request = ask();
        cutOff.lost(cutOff.send(request), false, "");
        ForwardingOutput.Send relayed = cutOff.send(request);
        registerRouter("vm-3");
        cutOff.advanceTime(10);

        stopping.advanceTime(CallTiming.ACCEPT_AFTER_STOP_MILLIS + 100);
        RequestId atStopping = stopping.relay(cutOff.calls.get(request), relayed.dispatch());
        refuse(relayed, stopping.refusal(atStopping).orElseThrow());
        assertThat(cutOff.delivered(request)).as("refusal delivered").isFalse();
        assertThat(cutOff.send(request).dispatch().upstream().value()).isEqualTo("router/vm-3");
    }

    @Test
    void should_relay_no_further_request_to_a_router_that_refused_one_because_it_stops() {
        startRouters();
        RequestId first = ask();
        cutOff.lost(cutOff.send(first), false, "");
        ForwardingOutput.Send relayed = cutOff.send(first);
        refuse(
                relayed,
                stopping.refusal(stopping.relay(cutOff.calls.get(first), relayed.dispatch()))
                        .orElseThrow());
        RequestId second = ask();
        assertThat(cutOff.sends(second))
                .noneMatch(send ->
                        send.dispatch().upstream().equals(relayed.dispatch().upstream()));
    }

    private static Dispatch dispatch(long deadlineMillis) {
        return new Dispatch(
                new UpstreamId("router/vm-2"),
                "10.0.0.2:802",
                deadlineMillis,
                Optional.empty(),
                OptionalLong.empty(),
                "",
                OptionalInt.empty(),
                "",
                "",
                Optional.of(RelayAllowance.UNTOLD),
                Optional.empty(),
                Optional.empty());
    }

    /** The grace period of the router ends 7.6 s after the request to stop; a call has a timeout of 0.8 s. */
    @ParameterizedTest
    @CsvSource({
        "/ask/1,0,7600,true",
        "/ask/1,0,7601,false",
        "/ask/1,2000,5600,true",
        "/ask/1,2000,5601,false",
        "/read/1,2800,20000,true",
        "/read/1,3000,800,false"
    })
    void should_take_a_relayed_request_only_if_its_deadline_lies_within_the_grace_period(
            String path, long afterStopMillis, long deadlineMillis, boolean taken) {
        startRouters();
        stopping.advanceTime(afterStopMillis);
        RequestId request = cutOff.call(path, ForwardingFixture.KEY, ForwardingFixture.prompt("a", "b", "c"));
        RequestId relayed = stopping.relay(cutOff.calls.get(request), dispatch(deadlineMillis));
        assertThat(stopping.sends(relayed)).hasSize(taken ? 1 : 0);
        assertThat(stopping.refusal(relayed).map(ForwardingOutput.Refuse::code))
                .isEqualTo(taken ? Optional.empty() : Optional.of(ResultCode.WITHOUT_PATH));
    }
}
