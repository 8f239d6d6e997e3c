package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that no upstream ran and that are answered at their deadline as if one might have. */
class RefusedRequestCountedAsRunTest {

    /** Leaves less of the timeout of 800 ms than another attempt needs, in milliseconds. */
    private static final long ALMOST_TIMEOUT_MILLIS = 780;

    private final ForwardingFixture fixture = new ForwardingFixture();

    @BeforeEach
    void start() {
        fixture.configured()
                .register(fixture.recordService("one"))
                .register(fixture.recordService("two"))
                .start();
    }

    private void assertRefusedAsNotRun(RequestId request) {
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.NO_UPSTREAM);
        assertThat(fixture.sends(request)).hasSize(1);
        assertThat(fixture.all(ForwardingOutput.Cancel.class)).hasSize(1);
    }

    @Test
    void should_refuse_as_not_run_when_the_upstream_did_not_execute_the_request_just_before_its_deadline() {
        RequestId request = fixture.call("/issue/1");
        fixture.advanceTime(ALMOST_TIMEOUT_MILLIS);
        fixture.answerNotExecuted(fixture.send(request));
        assertRefusedAsNotRun(request);
    }

    @Test
    void should_refuse_as_not_run_when_the_connection_failed_just_before_the_deadline() {
        RequestId request = fixture.call("/issue/1");
        fixture.advanceTime(ALMOST_TIMEOUT_MILLIS);
        fixture.lost(fixture.send(request), false, "");
        assertRefusedAsNotRun(request);
    }

    @Test
    void should_report_a_timeout_when_the_attempt_is_still_in_flight_at_the_deadline() {
        RequestId request = fixture.call("/issue/1");
        fixture.advanceTime(900);
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.TIMED_OUT);
    }

    @Test
    void should_report_a_timeout_when_an_earlier_attempt_may_have_run() {
        RequestId request = fixture.call("/read/1");
        fixture.lost(fixture.send(request), true, "");
        fixture.advanceTime(ALMOST_TIMEOUT_MILLIS);
        fixture.deliverEvent(
                fixture.send(request), new AttemptEvent.Answered(ForwardingFixture.head(503, false, true)));
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.TIMED_OUT);
    }
}
