package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WeightsRolloutTest {

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void sixEngines() {
        fixture.rightIsTaken = false;
        fixture.configured();
        for (int each = 1; each <= 6; each++) {
            fixture.list(fixture.tutor("engine-" + each, 1));
        }
        fixture.start();
    }

    private void name(long version) {
        fixture.put(
                "weights/" + ForwardingFixture.MODEL,
                new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, version));
    }

    private void answerQuestions() {
        for (ForwardingOutput.QueryEngineState question : fixture.all(ForwardingOutput.QueryEngineState.class)) {
            fixture.tick(new ForwardingInput.OrderAnswered(
                    question.engine(), new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L))));
        }
    }

    private List<ForwardingOutput.OrderWeights> orders() {
        return fixture.all(ForwardingOutput.OrderWeights.class);
    }

    @Test
    void should_order_a_third_of_the_engines_and_the_next_when_one_is_done() {
        sixEngines();
        fixture.pass(4_000);
        name(2);
        fixture.pass(60);
        answerQuestions();
        fixture.pass(100);
        assertThat(orders()).hasSize(2);
        UpstreamId done = orders().getFirst().engine();
        fixture.tick(new ForwardingInput.OrderAnswered(
                done, new OrderReply.State(false, 1, Map.of(ForwardingFixture.MODEL, 2L))));
        fixture.pass(60);
        answerQuestions();
        fixture.pass(100);
        assertThat(orders()).hasSize(3);
    }

    @Test
    void should_wait_with_an_order_for_requests_that_cannot_go_on_elsewhere() {
        sixEngines();
        fixture.pass(4_000);
        for (int each = 0; each < 30; each++) {
            fixture.call("/mark/" + each, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + each, "o"));
        }
        name(2);
        fixture.pass(60);
        answerQuestions();
        fixture.pass(300);
        assertThat(orders()).isEmpty();
        fixture.pass(1_300);
        assertThat(orders()).hasSize(2);
    }

    @Test
    void should_send_nothing_new_to_an_engine_that_switches() {
        sixEngines();
        fixture.pass(4_000);
        name(2);
        fixture.pass(60);
        answerQuestions();
        fixture.pass(100);
        List<UpstreamId> switching =
                orders().stream().map(ForwardingOutput.OrderWeights::engine).toList();
        for (int each = 0; each < 30; each++) {
            RequestId request =
                    fixture.call("/ask/" + each, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + each, "o"));
            assertThat(switching)
                    .doesNotContain(fixture.send(request).dispatch().upstream());
            fixture.finish(fixture.send(request));
        }
    }

    @Test
    void should_let_a_new_holder_wait_as_long_as_two_must_not_take_turns() {
        sixEngines();
        name(2);
        fixture.pass(2_900);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
        fixture.pass(800);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isNotEmpty();
    }

    @Test
    void should_order_nothing_without_a_fresh_renewal_of_the_lease() {
        sixEngines();
        fixture.pass(4_000);
        fixture.storeAnswers = false;
        fixture.pass(1_600);
        fixture.relay(
                "weights/" + ForwardingFixture.MODEL,
                99,
                new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, 2));
        fixture.pass(500);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
    }

    @Test
    void should_order_nothing_after_a_jump_of_time_before_the_lease_is_renewed() {
        sixEngines();
        fixture.pass(4_000);
        fixture.storeAnswers = false;
        fixture.tick(new ForwardingInput.ClockJumped());
        fixture.relay(
                "weights/" + ForwardingFixture.MODEL,
                99,
                new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, 2));
        fixture.pass(200);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
    }

    @Test
    void should_order_nothing_while_another_router_holds_the_right() {
        fixture.rightIsTaken = true;
        fixture.put("fuchsiatrail/order-holder", new StoreItemContent.OrderLeaseHolder("vm-2"));
        fixture.configured().list(fixture.tutor("engine-1", 1)).start();
        name(2);
        fixture.pass(10_000);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
        assertThat(fixture.all(ForwardingOutput.CallStore.class).stream().map(ForwardingOutput.CallStore::request))
                .noneMatch(StoreCall.TakeOrderRight.class::isInstance);
    }

    @Test
    void should_leave_an_engine_that_does_not_answer_out_of_its_wave() {
        sixEngines();
        fixture.pass(4_000);
        name(2);
        for (int round = 0; round < 40; round++) {
            fixture.pass(50);
            for (ForwardingOutput.QueryEngineState question :
                    List.copyOf(fixture.all(ForwardingOutput.QueryEngineState.class))) {
                fixture.outputs.remove(question);
                OrderReply reply = question.engine().value().equals("engine-1")
                        ? new OrderReply.Failed("no answer")
                        : new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L));
                fixture.tick(new ForwardingInput.OrderAnswered(question.engine(), reply));
            }
        }
        assertThat(orders().stream().map(ForwardingOutput.OrderWeights::engine).distinct())
                .doesNotContain(new UpstreamId("engine-1"))
                .hasSizeGreaterThanOrEqualTo(2);
    }

    @Test
    void should_run_nothing_on_weights_that_were_replaced_long_ago() {
        fixture.configured().list(fixture.tutor("engine-1", 1)).start();
        name(2);
        fixture.pass(5_000);
        RequestId allowed = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        assertThat(fixture.sends(allowed)).hasSize(1);
        fixture.pass(1_000);
        RequestId late = fixture.call("/ask/2", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        assertThat(fixture.sends(late)).isEmpty();
    }

    @Test
    void should_believe_a_peer_that_an_engine_switches() {
        fixture.configured()
                .list(fixture.tutor("engine-1", 1))
                .list(fixture.tutor("engine-2", 1))
                .start();
        EntryVm peer = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        fixture.tick(new ForwardingInput.PeerMessageReceived(
                peer.id(),
                PeerMessage.ForwardingNews.builder(peer, 0)
                        .switching(List.of(new PeerMessage.Switching(new UpstreamId("engine-1"), 1_500)))
                        .build()));
        for (int each = 0; each < 10; each++) {
            RequestId request =
                    fixture.call("/ask/" + each, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + each, "o"));
            assertThat(fixture.send(request).dispatch().upstream().value()).isEqualTo("engine-2");
            fixture.finish(fixture.send(request));
        }
    }
}
