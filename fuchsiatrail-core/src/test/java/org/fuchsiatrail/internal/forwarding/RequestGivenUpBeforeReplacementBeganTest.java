package org.fuchsiatrail.internal.forwarding;

import java.util.List;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are refused although their upstream would have answered in time, because they were given
 * up before another upstream had taken them.
 */
class RequestGivenUpBeforeReplacementBeganTest {

    @Test
    void should_not_refuse_an_unbegun_stream_whose_engine_goes_on() {
        String[] others = {"two", "three", "four", "five", "six"};
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three", "four", "five", "six");
        engines.begin(18);
        engines.beginMore(12);
        long onSilent = engines.running("one");
        engines.silence("one");
        engines.refuseNew(others);
        engines.advanceTime(1_050);
        engines.endSilence();
        engines.advanceTime(8_000);
        int refused = engines.router.all(ForwardingOutput.Refuse.class).size();
        assertThat(refused).as("unbegun streams refused").isZero();
    }

    @Test
    void should_not_refuse_a_plain_call_whose_upstream_answers_after_its_timeout() {
        ForwardingFixture router = new ForwardingFixture().configured();
        for (String name : List.of("r1", "r2", "r3")) {
            router.register(router.recordService(name));
        }
        router.start();
        router.advanceTime(CallTiming.WARM_UP_MILLIS);
        RequestId request = router.call("/read/1");
        ForwardingOutput.Send first = router.send(request);
        router.advanceTime(190);
        for (int number = 0; number < 3 && router.refusal(request).isEmpty(); number++) {
            ForwardingOutput.Send last = router.send(request);
            if (!last.equals(first)) {
                router.answerNotExecuted(last);
            }
            router.advanceTime(60);
        }
        // The first upstream would have answered now, 0.4 s before the timeout of the route.
        router.answered(first, 200);
        assertThat(router.delivered(request)).isTrue();
    }
}
