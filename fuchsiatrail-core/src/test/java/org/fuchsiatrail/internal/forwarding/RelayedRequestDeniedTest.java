package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against accepted requests that are denied because they were relayed to a router of another configuration. */
class RelayedRequestDeniedTest {

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void startWithOtherRouters(int count) {
        fixture.configured().register(fixture.recordService("one"));
        for (int number = 2; number < 2 + count; number++) {
            EntryVm vm = new EntryVm(
                    new EntryVmId("vm-" + number), new FailureDomain("lima-b"), "10.0.0." + number + ":7000", false);
            fixture.put("members/vm-" + number, new StoreItemContent.Member(vm, "10.0.0." + number + ":8000"));
        }
        fixture.start();
    }

    private static AttemptEvent denied(int status) {
        return new AttemptEvent.Answered(ForwardingFixture.head(status, false, false));
    }

    @ParameterizedTest
    @CsvSource({"/read/1, 401", "/read/1, 404", "/issue/1, 401", "/issue/1, 404"})
    void should_relay_a_denied_request_to_another_router(String path, int status) {
        startWithOtherRouters(2);
        RequestId request = fixture.call(path);
        fixture.lost(fixture.send(request), false, "");
        ForwardingOutput.Send first = fixture.send(request);
        fixture.deliverEvent(first, denied(status));
        ForwardingOutput.Send second = fixture.send(request);
        assertThat(fixture.delivered(request)).as("denial delivered").isFalse();
        assertThat(second.dispatch().toRouter()).isTrue();
        assertThat(second.dispatch().upstream()).isNotEqualTo(first.dispatch().upstream());
        fixture.answered(second, 200);
        assertThat(fixture.delivered(request)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {401, 404})
    void should_refuse_a_request_as_not_run_that_all_other_routers_deny(int status) {
        startWithOtherRouters(5);
        RequestId request = fixture.call("/issue/1");
        fixture.lost(fixture.send(request), false, "");
        for (int sends = 0; sends < fixture.sends(request).size(); sends++) {
            List<ForwardingOutput.Send> all = fixture.sends(request);
            if (all.get(sends).dispatch().toRouter()) {
                fixture.deliverEvent(all.get(sends), denied(status));
            }
        }
        fixture.advanceTime(1_000);
        assertThat(fixture.delivered(request)).isFalse();
        Optional<ForwardingOutput.Refuse> refusal = fixture.refusal(request);
        assertThat(refusal.orElseThrow().code()).isEqualTo(ResultCode.NO_UPSTREAM);
    }
}
