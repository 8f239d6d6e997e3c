package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that crashes every upstream it reaches: it must be refused after three crashes, while
 * broken connections without a crash must not count against it.
 */
class CrashTrackerTest {

    private final ForwardingFixture fixture = new ForwardingFixture();
    private long lastStartedAtMillis = 1;

    @BeforeEach
    void register_upstreams() {
        fixture.configured();
        for (int index = 1; index <= 8; index++) {
            fixture.register(fixture.recordService("u" + index));
        }
        fixture.start();
    }

    /** Breaks the connection of a request and registers its upstream as restarted under the same id. */
    private void crashUpstream(String path) {
        RequestId request = fixture.call(path);
        ForwardingOutput.Send send = fixture.send(request);
        fixture.lost(send, true, "");
        String upstream = send.dispatch().upstream().value();
        fixture.register(ForwardingFixture.entry(upstream, "records", 6, Map.of(), false, ++lastStartedAtMillis));
        fixture.advanceTime(500);
    }

    @Test
    void should_refuse_a_request_that_crashed_three_upstream_incarnations() {
        for (int index = 0; index < 3; index++) {
            crashUpstream("/issue/poison");
        }
        RequestId fourth = fixture.call("/issue/poison");
        assertThat(fixture.sends(fourth)).isEmpty();
        assertThat(fixture.refusal(fourth).orElseThrow().code()).isEqualTo(ResultCode.UPSTREAM_FAILED);
        assertThat(fixture.refusal(fourth).orElseThrow().retryAfterMillis()).isBetween(119_000L, 120_000L);
        assertThat(fixture.sends(fixture.call("/issue/harmless"))).hasSize(1);
    }

    @Test
    void should_refuse_such_a_request_also_with_another_key_of_its_customer() {
        for (int index = 0; index < 3; index++) {
            crashUpstream("/issue/poison");
        }
        RequestId sameCustomer = fixture.call("/issue/poison", ForwardingFixture.SECOND_KEY, List.of());
        assertThat(fixture.sends(sameCustomer)).isEmpty();
        RequestId otherCustomer = fixture.call("/issue/poison", "key-2", List.of());
        assertThat(fixture.sends(otherCustomer)).hasSize(1);
    }

    @Test
    void should_count_a_broken_connection_as_a_crash_when_the_upstream_then_refuses_connections() {
        ForwardingFixture singleUpstream = new ForwardingFixture();
        singleUpstream.configured().register(singleUpstream.recordService("u1")).start();
        singleUpstream.lost(singleUpstream.send(singleUpstream.call("/issue/poison")), true, "");
        assertThat(seenCrashes(singleUpstream)).isZero();
        ForwardingOutput.Send probe = singleUpstream.send(singleUpstream.call("/issue/probe"));
        singleUpstream.deliverEvent(probe, AttemptEvent.Lost.refused("connection refused"));
        assertThat(seenCrashes(singleUpstream)).isEqualTo(1);
    }

    @Test
    void should_count_a_crash_although_another_process_at_the_address_answered_as_misdirected() {
        ForwardingFixture singleUpstream = new ForwardingFixture();
        singleUpstream.configured().register(singleUpstream.recordService("u1")).start();
        singleUpstream.lost(singleUpstream.send(singleUpstream.call("/issue/poison")), true, "");
        singleUpstream.advanceTime(500);
        ForwardingOutput.Send next = singleUpstream.send(singleUpstream.call("/issue/next"));
        singleUpstream.deliverEvent(
                next, new AttemptEvent.Answered(ForwardingFixture.head(CallTiming.MISDIRECTED_STATUS, false, true)));
        singleUpstream.remove("servers/u1");
        singleUpstream.advanceTime(100);
        assertThat(seenCrashes(singleUpstream)).isEqualTo(1);
    }

    private static long seenCrashes(ForwardingFixture fixture) {
        return fixture.all(ForwardingOutput.LogEvent.class).stream()
                .filter(event -> event.message().equals("Upstream crash attributed to a request."))
                .count();
    }

    @Test
    void should_not_count_broken_connections_alone_as_crashes() {
        for (int index = 0; index < 5; index++) {
            RequestId request = fixture.call("/issue/unlucky");
            fixture.lost(fixture.send(request), true, "");
            fixture.advanceTime(3_500);
        }
        assertThat(fixture.sends(fixture.call("/issue/unlucky"))).hasSize(1);
    }

    @Test
    void should_count_one_crash_per_upstream_incarnation() {
        ForwardingContext context = new ForwardingContext(
                ForwardingSettings.builder().self(fixture.self()).build());
        CrashTracker tracker = new CrashTracker(context, new PromptPartTracker(context, () -> false));
        PeerMessage.SeenCrash crash = PeerMessage.SeenCrash.ofRequest(5, new UpstreamId("u1@1"));
        List.of(crash, crash, crash, crash).forEach(tracker::recordCrash);
        assertThat(tracker.isQuarantined(5)).isFalse();
    }
}
