package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against plain answers that are delivered, or refusals that are sent, inside a stream that has begun. */
class BegunStreamAnsweredPlainlyTest {

    private final ForwardingFixture fixture = new ForwardingFixture();

    @BeforeEach
    void start() {
        fixture.configured()
                .register(fixture.engine("one", 1))
                .register(fixture.engine("two", 1))
                .register(fixture.engine("three", 1))
                .start();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 400, 404, 500, 503})
    void should_end_a_stream_that_no_upstream_continues(int status) {
        RequestId request = fixture.call("/ask/1");
        ForwardingOutput.Send first = fixture.send(request);
        fixture.started(first);
        fixture.lost(first, true, "e-4");
        fixture.answered(fixture.send(request), status);
        assertThat(fixture.all(ForwardingOutput.Deliver.class))
                .as("answers delivered, the stream among them")
                .hasSize(1);
        assertThat(fixture.refusal(request)).isEmpty();
        assertThat(fixture.isAborted(request)).isTrue();
    }

    @Test
    void should_end_a_stream_whose_events_have_no_id() {
        RequestId request = fixture.call("/ask/1");
        ForwardingOutput.Send first = fixture.send(request);
        fixture.deliverEvent(first, new AttemptEvent.Started(ForwardingFixture.head(200, true, false), ""));
        fixture.lost(first, true, "");
        fixture.advanceTime(2_000);
        assertThat(fixture.sends(request)).as("attempts that may repeat events").hasSize(1);
        assertThat(fixture.refusal(request)).isEmpty();
        assertThat(fixture.isAborted(request)).isTrue();
    }
}
