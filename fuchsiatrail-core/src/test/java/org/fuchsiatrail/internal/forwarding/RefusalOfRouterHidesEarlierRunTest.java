package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against callers that are told 'not run' by another router although an earlier attempt may have run. */
class RefusalOfRouterHidesEarlierRunTest {

    private static final EntryVm PEER =
            new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);

    private static final EntryVm SECOND_PEER =
            new EntryVm(new EntryVmId("vm-3"), new FailureDomain("lima-c"), "10.0.0.3:7000", false);

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void startWithOneService() {
        fixture.configured()
                .register(fixture.recordService("one"))
                .put("members/vm-2", new StoreItemContent.Member(PEER, "10.0.0.2:8000"));
        fixture.start();
    }

    /** Submits a request whose attempt at the only upstream ends, and returns its attempt at the other router. */
    private ForwardingOutput.Send relayedAfterLoss(RequestId request, boolean sent) {
        fixture.lost(fixture.send(request), sent, "");
        ForwardingOutput.Send relayed = fixture.send(request);
        assertThat(relayed.dispatch().toRouter()).isTrue();
        return relayed;
    }

    private void refuse(ForwardingOutput.Send relayed, int status) {
        fixture.deliverEvent(relayed, new AttemptEvent.Answered(ForwardingFixture.head(status, false, false)));
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void should_report_an_unknown_outcome_when_another_router_refuses_a_request_that_may_have_run(int status) {
        startWithOneService();
        RequestId request = fixture.call("/read/1");
        refuse(relayedAfterLoss(request, true), status);
        assertThat(fixture.delivered(request))
                .as("refusal as not run delivered")
                .isFalse();
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(fixture.core.nextDueMillis()).isGreaterThan(fixture.now);
    }

    @Test
    void should_report_an_unknown_outcome_when_a_second_router_refuses_what_the_first_may_have_run() {
        startWithOneService();
        fixture.put("members/vm-3", new StoreItemContent.Member(SECOND_PEER, "10.0.0.3:8000"));
        RequestId request = fixture.call("/read/1");
        ForwardingOutput.Send first = relayedAfterLoss(request, false);
        fixture.lost(first, true, "");
        ForwardingOutput.Send second = fixture.send(request);
        assertThat(second.attempt()).isNotEqualTo(first.attempt());
        refuse(second, 503);
        assertThat(fixture.delivered(request))
                .as("refusal as not run delivered")
                .isFalse();
        assertThat(fixture.refusal(request).orElseThrow().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @ParameterizedTest
    @ValueSource(ints = {429, 502, 503, 504})
    void should_deliver_a_refusal_of_another_router_when_no_earlier_attempt_may_have_run(int status) {
        startWithOneService();
        RequestId request = fixture.call("/read/1");
        refuse(relayedAfterLoss(request, false), status);
        assertThat(fixture.delivered(request)).isTrue();
    }
}
