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

class CrashTrackerTest {

    private final ForwardingFixture fixture = new ForwardingFixture();
    private long births = 1;

    @BeforeEach
    void list_upstreams() {
        fixture.configured();
        for (int each = 1; each <= 8; each++) {
            fixture.list(fixture.records("u" + each));
        }
        fixture.start();
    }

    /** Has a request lost with its upstream, which starts again under its id. */
    private void crash(String path) {
        RequestId request = fixture.call(path);
        ForwardingOutput.Send send = fixture.send(request);
        fixture.lost(send, true, "");
        String upstream = send.dispatch().upstream().value();
        fixture.list(ForwardingFixture.entry(upstream, "records", 6, Map.of(), false, ++births));
        fixture.pass(500);
    }

    @Test
    void should_refuse_a_request_that_ended_three_lives_of_upstreams() {
        for (int each = 0; each < 3; each++) {
            crash("/issue/poison");
        }
        RequestId again = fixture.call("/issue/poison");
        assertThat(fixture.sends(again)).isEmpty();
        assertThat(fixture.refusal(again).orElseThrow().code()).isEqualTo(ResultCode.UPSTREAM_FAILED);
        assertThat(fixture.sends(fixture.call("/issue/harmless"))).hasSize(1);
    }

    @Test
    void should_count_a_crash_whose_upstream_then_refuses_connections() {
        ForwardingFixture alone = new ForwardingFixture();
        alone.configured().list(alone.records("u1")).start();
        alone.lost(alone.send(alone.call("/issue/poison")), true, "");
        assertThat(seenCrashes(alone)).isZero();
        ForwardingOutput.Send probe = alone.send(alone.call("/issue/probe"));
        alone.spoke(probe, new AttemptEvent.Lost(false, false, "", "connection refused"));
        assertThat(seenCrashes(alone)).isEqualTo(1);
    }

    private static long seenCrashes(ForwardingFixture fixture) {
        return fixture.all(ForwardingOutput.LogEvent.class).stream()
                .filter(note -> note.message().equals("Crash seen."))
                .count();
    }

    @Test
    void should_not_put_broken_connections_alone_down_to_the_request() {
        for (int each = 0; each < 5; each++) {
            RequestId request = fixture.call("/issue/unlucky");
            fixture.lost(fixture.send(request), true, "");
            fixture.pass(3_500);
        }
        assertThat(fixture.sends(fixture.call("/issue/unlucky"))).hasSize(1);
    }

    @Test
    void should_count_each_life_of_an_upstream_once() {
        CrashTracker register = new CrashTracker(new ForwardingContext(
                ForwardingSettings.builder().self(fixture.self()).build()));
        PeerMessage.SeenCrash crash = new PeerMessage.SeenCrash(5, new UpstreamId("u1@1"));
        List.of(crash, crash, crash, crash).forEach(register::recordCrash);
        assertThat(register.quarantined(5)).isFalse();
    }
}
