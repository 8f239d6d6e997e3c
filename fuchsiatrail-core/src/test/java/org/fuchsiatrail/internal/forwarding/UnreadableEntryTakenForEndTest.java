package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an unreadable entry of an upstream that is taken for the end of the upstream. */
class UnreadableEntryTakenForEndTest {

    private static final String ENTRY = "servers/r1";

    private final ForwardingFixture router = new ForwardingFixture().configured();

    private void makeUnreadable() {
        router.put(ENTRY, new StoreItemContent.Unreadable("why"));
        router.advanceTime(50);
    }

    private RequestId callInFlight() {
        router.register(router.recordService("r1")).start();
        return router.call("/issue/1");
    }

    @Test
    void should_let_requests_end_at_an_upstream_whose_entry_becomes_unreadable() {
        RequestId request = callInFlight();
        makeUnreadable();
        router.advanceTime(100);
        assertThat(router.refusal(request)).isEmpty();
        router.answered(router.send(request), 200);
        assertThat(router.delivered(request)).isTrue();
    }

    @Test
    void should_send_no_new_request_to_an_upstream_whose_entry_is_unreadable() {
        callInFlight();
        makeUnreadable();
        RequestId next = router.call("/issue/2");
        assertThat(router.sends(next)).isEmpty();
        router.register(router.recordService("r1")).advanceTime(50);
        assertThat(router.sends(router.call("/issue/3"))).hasSize(1);
    }

    @Test
    void should_not_attribute_a_crash_to_a_request_at_an_upstream_whose_entry_becomes_unreadable() {
        RequestId request = callInFlight();
        makeUnreadable();
        router.lost(router.send(request), true, "");
        router.advanceTime(3_000);
        assertThat(router.all(ForwardingOutput.LogEvent.class))
                .extracting(ForwardingOutput.LogEvent::message)
                .contains("Attempt lost.")
                .doesNotContain("Upstream crash attributed to a request.");
    }
}
