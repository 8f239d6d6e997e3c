package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against what the router ends by itself being taken for what its upstreams do. */
class CallRelayedAfterShortSilenceTest {

    /** Connections that are not established in time are no sign of the upstream. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_take_requests_that_could_not_be_sent_for_contact_with_a_silent_engine(boolean unsent) {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three", "four", "five", "six");
        engines.registerRouter("vm-2");
        engines.begin(18);
        List<String> begun = List.copyOf(engines.longestPauseMillis.keySet()).stream()
                .map(request -> engines.router.send(request).attempt().value())
                .toList();
        engines.silence("one", "two", "three", "four", "five");
        for (int step = 0; step < 4; step++) {
            engines.advanceTime(250);
            for (int number = 0; unsent && number < 12; number++) {
                RequestId request = engines.router.call("/ask/new-" + step + "-" + number);
                String upstream =
                        engines.router.send(request).dispatch().upstream().value();
                if (!upstream.equals("six") && !upstream.startsWith("router")) {
                    engines.router.deliverEvent(
                            engines.router.send(request),
                            new AttemptEvent.Lost(false, false, "", "connection timed out"));
                }
            }
        }
        engines.advanceTime(150);
        List<String> givenUp = engines.router.all(ForwardingOutput.Cancel.class).stream()
                .map(cancel -> cancel.attempt().value())
                .filter(begun::contains)
                .toList();
        assertThat(givenUp)
                .as("streams given up within 1.15 s of common silence")
                .isEmpty();
    }

    /** Calls that the router gives up within 0.2 s say nothing of its paths. */
    @Test
    void should_not_relay_calls_after_a_common_silence_of_a_fifth_of_a_second() {
        ForwardingFixture router = new ForwardingFixture().configured();
        for (int number = 1; number <= 4; number++) {
            router.register(router.recordService("service-" + number));
        }
        EntryVm peer = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        router.put("members/vm-2", new StoreItemContent.Member(peer, "10.0.0.2:80"));
        router.start();
        router.advanceTime(5_000);
        for (int number = 0; number < 100; number++) {
            RequestId warm = router.call("/read/warm" + number);
            router.advanceTime(20);
            router.answered(router.send(warm), 200);
        }
        List<RequestId> calls = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            calls.add(router.call("/read/" + number));
        }
        router.advanceTime(200);
        RequestId next = router.call("/read/next");
        assertThat(router.send(next).dispatch().toRouter())
                .as("relayed after 200 ms without an answer")
                .isFalse();
    }

    /** One engine hangs, and another one takes a long step. */
    @Test
    void should_move_streams_of_a_hanging_engine_once_another_engine_is_heard_after_a_short_stall() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three");
        engines.begin(9);
        engines.silence("one");
        engines.advanceTime(600);
        engines.silence("two");
        engines.advanceTime(450);
        engines.endSilence("two");
        engines.advanceTime(8_000);
        long longest = engines.longestPauseMillis.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        assertThat(longest).as("longest pause of a stream").isLessThanOrEqualTo(1_300);
    }
}
