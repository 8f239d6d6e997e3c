package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests to an upstream that left without draining, after a connection to the store was reset. */
class RemovedUpstreamGetsRequestsTest {

    /** The time for which an upstream serves on after it has left the store, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    /** The time that a request takes to the upstream, and a change of the store to the router, in milliseconds. */
    private static final long TRANSIT_MILLIS = 100;

    private static final UpstreamId REMOVED = new UpstreamId("one");

    private final ForwardingFixture fixture = new ForwardingFixture();
    private int requests;

    @BeforeEach
    void start() {
        fixture.configured()
                .register(fixture.recordService("one"))
                .register(fixture.recordService("two"))
                .start();
        fixture.advanceTime(10_000);
    }

    private void resetConnectionToStore() {
        ForwardingOutput.CallStore watch = fixture.all(ForwardingOutput.CallStore.class).stream()
                .filter(call -> call.request() instanceof StoreCall.Watch)
                .reduce((earlier, later) -> later)
                .orElseThrow();
        fixture.tick(new ForwardingInput.StoreAnswered(watch.call(), new StoreReply.Failed(true, "connection reset")));
    }

    /** Sends some requests at once, and returns whether one of them went to the removed upstream. */
    private boolean reachesRemovedUpstream() {
        List<ForwardingOutput.Send> sends = new ArrayList<>();
        for (int count = 0; count < 4; count++) {
            RequestId request = fixture.call("/read/" + ++requests);
            sends.add(fixture.send(request));
        }
        sends.forEach(send -> fixture.answered(send, 200));
        return sends.stream().anyMatch(send -> send.dispatch().upstream().equals(REMOVED));
    }

    @ParameterizedTest
    @ValueSource(longs = {200, 500, 1_000, 1_500, 2_000, 2_500, 2_900, 3_500})
    void should_send_no_request_after_the_time_to_drain(long millisSinceReset) {
        resetConnectionToStore();
        fixture.advanceTime(millisSinceReset);
        assertThat(reachesRemovedUpstream()).isTrue();
        fixture.remove("servers/one");
        long removedAtMillis = fixture.now;
        long lastRequestMillis = 0;
        while (fixture.now < removedAtMillis + 2 * DRAIN_MILLIS) {
            if (reachesRemovedUpstream()) {
                lastRequestMillis = fixture.now - removedAtMillis;
            }
            fixture.advanceTime(20);
        }
        assertThat(lastRequestMillis).isLessThanOrEqualTo(DRAIN_MILLIS - TRANSIT_MILLIS);
    }

    @Test
    void should_send_no_request_when_an_entry_is_removed_later_than_expired_ones_are_back() {
        resetConnectionToStore();
        fixture.advanceTime(4_000);
        fixture.remove("servers/one");
        assertThat(reachesRemovedUpstream()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 1_000, 1_500})
    void should_send_requests_while_an_entry_that_expired_with_the_store_away_may_come_back(long millisSinceReturn) {
        fixture.storeAnswers = false;
        fixture.advanceTime(22_000);
        fixture.storeAnswers = true;
        fixture.remove("servers/one");
        fixture.advanceTime(millisSinceReturn);
        assertThat(reachesRemovedUpstream()).isTrue();
    }
}
