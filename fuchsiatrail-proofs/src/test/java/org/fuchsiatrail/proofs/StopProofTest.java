package org.fuchsiatrail.proofs;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;
import org.fuchsiatrail.standins.drive.VirtualRouter;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Promises 7 and 8 of docs/PROOFS.md: a draining upstream gets no new work, and a graceful shutdown aborts no request.
 *
 * <p>Guards against routers that do not receive a drain, or forget it, while the store is down, a failure domain is cut
 * off or a router restarts, and against routers that stop before their streams and calls are finished.
 */
class StopProofTest {

    private static final long DRAIN_PROPAGATION_MILLIS = 3_000;
    private static final UpstreamId DRAINED_ENGINE = Fixture.engineId(2);

    private void checkNoNewWork(Fixture fixture, long drainedAtMillis) {
        for (int number = 0; number < 60; number++) {
            ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number, 20), 3);
            fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, call);
            fixture.deployment.run(150);
        }
        assertThat(fixture.deployment.attemptTimesMillis(DRAINED_ENGINE))
                .noneMatch(attemptMillis -> attemptMillis > drainedAtMillis + DRAIN_PROPAGATION_MILLIS);
        assertThat(fixture.deployment.attemptCount()).isGreaterThanOrEqualTo(50);
    }

    @Test
    void should_give_no_new_work_to_an_engine_that_an_intent_drains() {
        Fixture fixture = Fixture.started(1);
        fixture.deployment.planAndConfirm(fixture.router(1), Fixture.intent(List.of(2), Fixture.TUTOR_V1));
        checkNoNewWork(fixture, fixture.deployment.now());
    }

    @Test
    void should_give_no_new_work_to_an_engine_that_reports_that_it_is_leaving() {
        Fixture fixture = Fixture.started(2);
        fixture.deployment.engines().get(DRAINED_ENGINE).setDraining(true);
        checkNoNewWork(fixture, fixture.deployment.now());
    }

    @Test
    void should_give_no_new_work_to_an_engine_that_an_operator_drains_while_the_store_is_down() {
        Fixture fixture = Fixture.started(3);
        fixture.faults.storeDown = true;
        fixture.deployment.sendOperatorRequest(fixture.router(3), new OperatorRequest.Drain(DRAINED_ENGINE));
        checkNoNewWork(fixture, fixture.deployment.now());
    }

    @Test
    void should_give_no_new_work_to_an_engine_on_the_list_of_leaving_machines() {
        Fixture fixture = Fixture.started(4);
        List<EntryVm> list = new ArrayList<>(
                fixture.deployment.routers().stream().map(VirtualRouter::vm).toList());
        list.add(new EntryVm(new EntryVmId(DRAINED_ENGINE.value()), new FailureDomain("domain-2"), "", true));
        fixture.deployment.store().setVms(list);
        fixture.faults.domainsWithoutStore.add(new FailureDomain("domain-3"));
        long listDelayMillis = 5_000;
        checkNoNewWork(fixture, fixture.deployment.now() + listDelayMillis);
    }

    private boolean receivesNewWork(Fixture fixture) {
        long sinceMillis = fixture.deployment.now();
        for (int number = 0; number < 60; number++) {
            ChatCall call = Fixture.chatCall(Fixture.prompt("again " + number, 20), 3);
            fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, call);
            fixture.deployment.run(100);
        }
        return fixture.deployment.attemptTimesMillis(DRAINED_ENGINE).stream()
                .anyMatch(attemptMillis -> attemptMillis > sinceMillis);
    }

    @Test
    void should_give_work_again_when_an_intent_ends_a_drain_that_an_operator_also_requested() {
        Fixture fixture = Fixture.started(6);
        fixture.deployment.sendOperatorRequest(fixture.router(1), new OperatorRequest.Drain(DRAINED_ENGINE));
        fixture.deployment.run(500);
        fixture.deployment.planAndConfirm(fixture.router(2), Fixture.intent(List.of(2), Fixture.TUTOR_V1));
        fixture.deployment.run(2_000);
        fixture.deployment.planAndConfirm(fixture.router(3), Fixture.intent(Fixture.TUTOR_V1));
        fixture.deployment.run(3_000);

        assertThat(receivesNewWork(fixture)).isTrue();
    }

    @Test
    void should_give_work_again_to_an_engine_that_no_longer_reports_that_it_is_leaving() {
        Fixture fixture = Fixture.started(7);
        fixture.deployment.engines().get(DRAINED_ENGINE).setDraining(true);
        fixture.deployment.run(5_000);
        fixture.deployment.engines().get(DRAINED_ENGINE).setDraining(false);
        fixture.deployment.run(15_000);

        assertThat(receivesNewWork(fixture)).isTrue();
    }

    @Test
    void should_remember_a_drain_on_a_router_that_restarts_during_it() {
        Fixture fixture = Fixture.started(5);
        fixture.deployment.sendOperatorRequest(fixture.router(1), new OperatorRequest.Drain(DRAINED_ENGINE));
        fixture.deployment.run(200);
        fixture.deployment.kill(fixture.router(1));
        fixture.deployment.restart(fixture.router(1));
        checkNoNewWork(fixture, fixture.deployment.now());
    }

    @Test
    void should_finish_streams_and_calls_before_a_planned_stop() {
        for (int stopMillis = 0; stopMillis < 40; stopMillis += 3) {
            Fixture fixture = Fixture.started(100 + stopMillis);
            List<CallerRecord> callers = new ArrayList<>();
            for (int number = 0; number < 6; number++) {
                ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number, 20), 100);
                callers.add(fixture.deployment.chat(fixture.router(1), Fixture.ALPHA_KEY, call));
                callers.add(fixture.deployment.service(
                        fixture.router(1), Fixture.ALPHA_KEY, Fixture.issueCall("key-" + number, 3_000)));
            }
            fixture.deployment.run(stopMillis);
            fixture.deployment.requestStop(fixture.router(1));
            fixture.deployment.run(20);
            CallerRecord lateCaller =
                    fixture.deployment.chat(fixture.router(1), Fixture.ALPHA_KEY, Fixture.chatCall("late", 5));
            fixture.deployment.runUntil(() -> fixture.router(1).isStopped(), 20_000);

            assertThat(fixture.router(1).isStopped()).isTrue();
            assertThat(callers)
                    .allMatch(caller -> caller.lastAnswer() instanceof CallerAnswer.End
                            || caller.lastAnswer() instanceof CallerAnswer.Result);
            assertThat(lateCaller.refusal().code()).isEqualTo(ResultCode.STOPPING);
            Invariants.checkAtMostOnce(fixture.deployment);
        }
    }

    @Test
    void should_finish_everything_when_two_routers_stop_at_once_during_a_partition() {
        Fixture fixture = Fixture.started(200);
        fixture.faults.isolatedDomains.add(new FailureDomain("domain-1"));
        fixture.deployment.run(4_000);
        List<CallerRecord> callers = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number, 20), 100);
            callers.add(fixture.deployment.chat(fixture.router(1 + number % 2), Fixture.ALPHA_KEY, call));
            callers.add(fixture.deployment.service(
                    fixture.router(1 + number % 2), Fixture.ALPHA_KEY, Fixture.issueCall("key-" + number, 3_000)));
        }
        fixture.deployment.run(10);
        fixture.deployment.requestStop(fixture.router(1));
        fixture.deployment.requestStop(fixture.router(2));
        fixture.deployment.runUntil(
                () -> fixture.router(1).isStopped() && fixture.router(2).isStopped(), 30_000);

        assertThat(fixture.router(1).isStopped() && fixture.router(2).isStopped())
                .isTrue();
        assertThat(callers)
                .allMatch(caller ->
                        VirtualDeployment.isComplete(caller) || caller.lastAnswer() instanceof CallerAnswer.Result);
        Invariants.checkAtMostOnce(fixture.deployment);
    }
}
