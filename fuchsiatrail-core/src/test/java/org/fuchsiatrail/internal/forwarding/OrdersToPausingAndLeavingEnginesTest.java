package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.RequestedPause;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards which engines are ordered to load target weights while they pause or leave. */
class OrdersToPausingAndLeavingEnginesTest {

    private final ForwardingFixture fixture = new ForwardingFixture().configured();

    @BeforeEach
    void startWithOneEngine() {
        fixture.orderLeaseTaken = false;
        fixture.register(fixture.engine("e1", 1)).start();
        fixture.advanceTime(4_000);
    }

    private Set<UpstreamId> orderedEngines() {
        fixture.put(
                "weights/" + ForwardingFixture.MODEL, new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, 2));
        for (int round = 0; round < 40; round++) {
            fixture.advanceTime(50);
            for (ForwardingOutput.QueryEngineState query : fixture.all(ForwardingOutput.QueryEngineState.class)) {
                fixture.outputs.remove(query);
                fixture.tick(new ForwardingInput.OrderAnswered(
                        query.engine(), new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L))));
            }
        }
        return fixture.all(ForwardingOutput.OrderWeights.class).stream()
                .map(ForwardingOutput.OrderWeights::engine)
                .collect(Collectors.toSet());
    }

    @Test
    void should_order_new_weights_at_an_engine_that_pauses() {
        RequestId request = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        fixture.deliverEvent(
                fixture.send(request),
                new AttemptEvent.Answered(AttemptEvent.Head.builder(503)
                        .notExecuted(true)
                        .requestedPause(Optional.of(new RequestedPause("60", OptionalLong.of(60_000))))
                        .build()));
        assertThat(orderedEngines()).containsExactly(new UpstreamId("e1"));
    }

    @Test
    void should_order_no_new_weights_at_an_engine_that_leaves() {
        fixture.register(fixture.engine("e2", 1));
        PeerMessage.ForwardingNews news = PeerMessage.ForwardingNews.builder(fixture.self(), 0)
                .leaving(List.of(new UpstreamId("e1@1")))
                .build();
        fixture.tick(new ForwardingInput.PeerMessageReceived(new EntryVmId("vm-2"), news));
        assertThat(orderedEngines()).containsExactly(new UpstreamId("e2"));
    }
}
