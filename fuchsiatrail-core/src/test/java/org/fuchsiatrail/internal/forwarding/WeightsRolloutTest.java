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
import org.fuchsiatrail.forwarding.StoreReply;
import org.fuchsiatrail.forwarding.SwitchMode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rollouts of new weights that interrupt traffic or conflict: too many engines load at once, an engine
 * loads while it runs requests that cannot continue elsewhere, requests are sent to an engine that loads, or a router
 * issues orders without a valid order lease.
 */
class WeightsRolloutTest {

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void startSixEngines() {
        fixture.orderLeaseTaken = false;
        fixture.configured();
        for (int index = 1; index <= 6; index++) {
            fixture.register(fixture.engine("engine-" + index, 1));
        }
        fixture.start();
    }

    private void setTargetVersion(long version) {
        fixture.put(
                "weights/" + ForwardingFixture.MODEL,
                new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, version));
    }

    private void answerStateQueries() {
        for (ForwardingOutput.QueryEngineState query : fixture.all(ForwardingOutput.QueryEngineState.class)) {
            fixture.tick(new ForwardingInput.OrderAnswered(
                    query.engine(), new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L))));
        }
    }

    private List<ForwardingOutput.OrderWeights> orders() {
        return fixture.all(ForwardingOutput.OrderWeights.class);
    }

    @Test
    void should_order_a_third_of_the_engines_first_and_another_when_one_has_switched() {
        startSixEngines();
        fixture.advanceTime(4_000);
        setTargetVersion(2);
        fixture.advanceTime(60);
        answerStateQueries();
        fixture.advanceTime(100);
        assertThat(orders()).hasSize(2);
        UpstreamId switchedEngine = orders().getFirst().engine();
        fixture.tick(new ForwardingInput.OrderAnswered(
                switchedEngine, new OrderReply.State(false, 1, Map.of(ForwardingFixture.MODEL, 2L))));
        fixture.advanceTime(60);
        answerStateQueries();
        fixture.advanceTime(100);
        assertThat(orders()).hasSize(3);
    }

    @Test
    void should_delay_an_order_for_non_resumable_requests_up_to_a_time_limit() {
        startSixEngines();
        fixture.advanceTime(4_000);
        for (int index = 0; index < 30; index++) {
            fixture.call("/mark/" + index, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + index, "o"));
        }
        setTargetVersion(2);
        fixture.advanceTime(60);
        answerStateQueries();
        fixture.advanceTime(300);
        assertThat(orders()).isEmpty();
        fixture.advanceTime(1_300);
        assertThat(orders()).hasSize(2);
    }

    @Test
    void should_not_reset_requests_that_cannot_continue_elsewhere() {
        startSixEngines();
        fixture.advanceTime(4_000);
        for (int index = 0; index < 30; index++) {
            fixture.call("/mark/" + index, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + index, "o"));
        }
        setTargetVersion(2);
        fixture.advanceTime(60);
        answerStateQueries();
        fixture.advanceTime(1_600);
        assertThat(orders())
                .hasSize(2)
                .allSatisfy(order -> assertThat(order.switchMode()).isEqualTo(SwitchMode.RETAIN_RUNS));
    }

    @Test
    void should_reset_resumable_streams_so_that_they_go_on_at_another_engine() {
        startSixEngines();
        fixture.advanceTime(4_000);
        for (int index = 0; index < 30; index++) {
            fixture.call("/ask/" + index, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + index, "o"));
        }
        setTargetVersion(2);
        fixture.advanceTime(60);
        answerStateQueries();
        fixture.advanceTime(100);
        assertThat(orders())
                .hasSize(2)
                .allSatisfy(order -> assertThat(order.switchMode()).isEqualTo(SwitchMode.RESET_RUNS));
    }

    @Test
    void should_place_no_new_requests_on_an_engine_that_switches_weights() {
        startSixEngines();
        fixture.advanceTime(4_000);
        setTargetVersion(2);
        fixture.advanceTime(60);
        answerStateQueries();
        fixture.advanceTime(100);
        List<UpstreamId> switching =
                orders().stream().map(ForwardingOutput.OrderWeights::engine).toList();
        for (int index = 0; index < 30; index++) {
            RequestId request = fixture.call(
                    "/ask/" + index, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + index, "o"));
            assertThat(switching)
                    .doesNotContain(fixture.send(request).dispatch().upstream());
            fixture.finish(fixture.send(request));
        }
    }

    @Test
    void should_issue_no_orders_before_the_waiting_time_of_a_new_lease_holder_has_passed() {
        startSixEngines();
        setTargetVersion(2);
        fixture.advanceTime(2_900);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
        fixture.advanceTime(800);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isNotEmpty();
    }

    @Test
    void should_issue_no_orders_without_a_recent_renewal_of_the_lease() {
        startSixEngines();
        fixture.advanceTime(4_000);
        fixture.storeAnswers = false;
        fixture.advanceTime(1_600);
        fixture.relay(
                "weights/" + ForwardingFixture.MODEL,
                99,
                new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, 2));
        fixture.advanceTime(500);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
    }

    @Test
    void should_issue_no_orders_after_a_clock_jump_until_the_lease_is_renewed() {
        startSixEngines();
        fixture.advanceTime(4_000);
        fixture.storeAnswers = false;
        fixture.tick(new ForwardingInput.ClockJumped(2_000));
        fixture.relay(
                "weights/" + ForwardingFixture.MODEL,
                99,
                new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, 2));
        fixture.advanceTime(200);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
    }

    private long lastOrderLeaseRenewal() {
        List<ForwardingOutput.CallStore> calls = fixture.all(ForwardingOutput.CallStore.class);
        long lease = calls.stream()
                .map(ForwardingOutput.CallStore::request)
                .filter(StoreCall.TakeOrderRight.class::isInstance)
                .mapToLong(request -> ((StoreCall.TakeOrderRight) request).lease())
                .findFirst()
                .orElseThrow();
        return calls.stream()
                .filter(call -> call.request().equals(new StoreCall.KeepLease(lease)))
                .toList()
                .getLast()
                .call();
    }

    @Test
    void should_issue_no_orders_on_a_renewal_that_was_sent_before_a_clock_jump() {
        startSixEngines();
        fixture.advanceTime(4_000);
        fixture.storeAnswers = false;
        fixture.advanceTime(500);
        long renewal = lastOrderLeaseRenewal();
        fixture.tick(new ForwardingInput.ClockJumped(5_000));
        fixture.tick(new ForwardingInput.StoreAnswered(renewal, new StoreReply.LeaseRenewed()));
        fixture.relay(
                "weights/" + ForwardingFixture.MODEL,
                99,
                new StoreItemContent.TargetWeights(ForwardingFixture.MODEL, 2));
        fixture.advanceTime(200);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
    }

    @Test
    void should_issue_no_orders_while_another_router_holds_the_order_lease() {
        fixture.orderLeaseTaken = true;
        fixture.put("fuchsiatrail/order-holder", new StoreItemContent.OrderLeaseHolder("vm-2"));
        fixture.configured().register(fixture.engine("engine-1", 1)).start();
        setTargetVersion(2);
        fixture.advanceTime(10_000);
        assertThat(fixture.all(ForwardingOutput.QueryEngineState.class)).isEmpty();
        assertThat(fixture.all(ForwardingOutput.CallStore.class).stream().map(ForwardingOutput.CallStore::request))
                .noneMatch(StoreCall.TakeOrderRight.class::isInstance);
    }

    @Test
    void should_continue_the_rollout_without_an_unresponsive_engine() {
        startSixEngines();
        fixture.advanceTime(4_000);
        setTargetVersion(2);
        for (int round = 0; round < 40; round++) {
            fixture.advanceTime(50);
            for (ForwardingOutput.QueryEngineState query :
                    List.copyOf(fixture.all(ForwardingOutput.QueryEngineState.class))) {
                fixture.outputs.remove(query);
                OrderReply reply = query.engine().value().equals("engine-1")
                        ? new OrderReply.Failed("no answer")
                        : new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L));
                fixture.tick(new ForwardingInput.OrderAnswered(query.engine(), reply));
            }
        }
        assertThat(orders().stream().map(ForwardingOutput.OrderWeights::engine).distinct())
                .doesNotContain(new UpstreamId("engine-1"))
                .hasSizeGreaterThanOrEqualTo(2);
    }

    @Test
    void should_place_no_requests_on_weights_after_the_grace_time_of_their_replacement() {
        fixture.configured().register(fixture.engine("engine-1", 1)).start();
        setTargetVersion(2);
        fixture.advanceTime(5_000);
        RequestId allowed = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        assertThat(fixture.sends(allowed)).hasSize(1);
        fixture.advanceTime(1_000);
        RequestId afterGraceTime =
                fixture.call("/ask/2", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        assertThat(fixture.sends(afterGraceTime)).isEmpty();
    }

    @Test
    void should_place_no_requests_on_an_engine_that_a_peer_reports_as_switching() {
        fixture.configured()
                .register(fixture.engine("engine-1", 1))
                .register(fixture.engine("engine-2", 1))
                .start();
        EntryVm peer = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        fixture.tick(new ForwardingInput.PeerMessageReceived(
                peer.id(),
                PeerMessage.ForwardingNews.builder(peer, 0)
                        .switching(List.of(new PeerMessage.Switching(new UpstreamId("engine-1"), 1_500)))
                        .build()));
        for (int index = 0; index < 10; index++) {
            RequestId request = fixture.call(
                    "/ask/" + index, ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s" + index, "o"));
            assertThat(fixture.send(request).dispatch().upstream().value()).isEqualTo("engine-2");
            fixture.finish(fixture.send(request));
        }
    }
}
