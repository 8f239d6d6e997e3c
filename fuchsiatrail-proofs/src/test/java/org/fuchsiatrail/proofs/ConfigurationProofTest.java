package org.fuchsiatrail.proofs;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.standins.drive.VirtualRouter;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Promise 9 of docs/PROOFS.md: an accepted configuration is in force on all routers within seconds and never reverts.
 *
 * <p>Guards against routers that miss a revision or return to an older one when operators confirm concurrently, store
 * responses are lost, failure domains are cut off, or routers are killed, frozen or restarted.
 */
class ConfigurationProofTest {

    private static final long IN_FORCE_WITHIN_MILLIS = 2_000;

    private long revision(Fixture fixture, VirtualRouter router) {
        long call = fixture.deployment.sendOperatorRequest(router, new OperatorRequest.Show());
        fixture.deployment.runUntil(() -> fixture.deployment.operatorAnswer(call) != null, 100);
        OperatorAnswer answer = fixture.deployment.operatorAnswer(call);
        return answer instanceof OperatorAnswer.Shown shown ? shown.revision() : -1;
    }

    private long confirm(Fixture fixture, int router, Intent intent) {
        long plan = fixture.deployment.sendOperatorRequest(fixture.router(router), new OperatorRequest.Plan(intent));
        fixture.deployment.run(3);
        OperatorAnswer.Planned planned = (OperatorAnswer.Planned) fixture.deployment.operatorAnswer(plan);
        return fixture.deployment.sendOperatorRequest(
                fixture.router(router), new OperatorRequest.Confirm(planned.planId(), intent));
    }

    private void checkRevisionEverywhere(Fixture fixture, long revision) {
        for (VirtualRouter router : fixture.deployment.routers()) {
            assertThat(revision(fixture, router))
                    .as("revision at %s", router.vm().id())
                    .isEqualTo(revision);
        }
    }

    @Test
    void should_be_in_force_everywhere_within_two_seconds() {
        Fixture fixture = Fixture.started(1, 3, settings -> {});
        long confirm = confirm(fixture, 1, Fixture.intent(List.of(2), Fixture.TUTOR_V1));
        long before = fixture.deployment.now();
        fixture.deployment.runUntil(() -> fixture.deployment.operatorAnswer(confirm) != null, 10_000);

        assertThat(fixture.deployment.now() - before).isLessThan(IN_FORCE_WITHIN_MILLIS);
        assertThat(fixture.deployment.operatorAnswer(confirm))
                .isInstanceOfSatisfying(OperatorAnswer.Confirmed.class, confirmed -> {
                    assertThat(confirmed.lagging()).isEmpty();
                    assertThat(confirmed.inForce()).hasSize(9);
                });
        checkRevisionEverywhere(fixture, 2);
    }

    @Test
    void should_let_one_of_two_concurrent_confirmations_win_and_refuse_the_other() {
        for (int intervalMillis = 0; intervalMillis < 12; intervalMillis++) {
            Fixture fixture = Fixture.started(10 + intervalMillis);
            long first = confirm(fixture, 1, Fixture.intent(List.of(1), Fixture.TUTOR_V1));
            long second = confirm(fixture, 2, Fixture.intent(List.of(2), Fixture.TUTOR_V1));
            fixture.deployment.run(intervalMillis);
            fixture.deployment.run(8_000);

            List<OperatorAnswer> answers =
                    List.of(fixture.deployment.operatorAnswer(first), fixture.deployment.operatorAnswer(second));
            assertThat(answers)
                    .filteredOn(OperatorAnswer.Confirmed.class::isInstance)
                    .hasSize(1);
            assertThat(answers)
                    .filteredOn(answer -> answer instanceof OperatorAnswer.Refused refused
                            && refused.code() == ResultCode.PLAN_OUTDATED)
                    .hasSize(1);
            checkRevisionEverywhere(fixture, 2);
        }
    }

    @Test
    void should_settle_a_confirmation_whose_store_responses_are_lost() {
        for (long seed = 30; seed < 60; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.faults.storeResponseLossRate = 0.6;
            Intent intent = Fixture.intent(List.of(1), Fixture.TUTOR_V1);
            long confirm = confirm(fixture, 1, intent);
            fixture.deployment.runUntil(() -> fixture.deployment.operatorAnswer(confirm) != null, 20_000);
            fixture.faults.clear();
            fixture.deployment.run(12_000);

            OperatorAnswer answer = fixture.deployment.operatorAnswer(confirm);
            if (answer instanceof OperatorAnswer.Refused refused) {
                assertThat(refused.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
                // A plan id starts with the revision that it is based on; the first plan was based on revision 1.
                String planId = "1" + planSuffix(fixture, intent);
                long repeatedConfirm = fixture.deployment.sendOperatorRequest(
                        fixture.router(1), new OperatorRequest.Confirm(planId, intent));
                fixture.deployment.run(8_000);
                assertThat(fixture.deployment.operatorAnswer(repeatedConfirm))
                        .isInstanceOf(OperatorAnswer.Confirmed.class);
            }
            checkRevisionEverywhere(fixture, 2);
        }
    }

    private String planSuffix(Fixture fixture, Intent intent) {
        long plan = fixture.deployment.sendOperatorRequest(fixture.router(1), new OperatorRequest.Plan(intent));
        fixture.deployment.run(3);
        String planId = ((OperatorAnswer.Planned) fixture.deployment.operatorAnswer(plan)).planId();
        return planId.substring(planId.indexOf('-'));
    }

    @Test
    void should_reach_a_domain_that_was_cut_off_once_it_heals() {
        Fixture fixture = Fixture.started(70);
        fixture.faults.isolatedDomains.add(new FailureDomain("domain-3"));
        fixture.faults.domainsWithoutStore.add(new FailureDomain("domain-3"));
        fixture.deployment.run(5_000);
        long confirm = confirm(fixture, 1, Fixture.intent(List.of(1), Fixture.TUTOR_V1));
        fixture.deployment.runUntil(() -> fixture.deployment.operatorAnswer(confirm) != null, 10_000);

        assertThat(fixture.deployment.operatorAnswer(confirm))
                .isInstanceOfSatisfying(
                        OperatorAnswer.Confirmed.class,
                        confirmed -> assertThat(confirmed.lagging()).containsExactly(new EntryVmId("vm-3")));
        fixture.faults.isolatedDomains.clear();
        fixture.deployment.run(IN_FORCE_WITHIN_MILLIS);
        checkRevisionEverywhere(fixture, 2);
    }

    @Test
    void should_reach_domains_that_are_cut_off_from_the_store_only() {
        Fixture fixture = Fixture.started(71);
        fixture.faults.domainsWithoutStore.add(new FailureDomain("domain-2"));
        fixture.faults.domainsWithoutStore.add(new FailureDomain("domain-3"));
        long confirm = confirm(fixture, 1, Fixture.intent(List.of(1), Fixture.TUTOR_V1));
        fixture.deployment.run(IN_FORCE_WITHIN_MILLIS);

        assertThat(fixture.deployment.operatorAnswer(confirm)).isInstanceOf(OperatorAnswer.Confirmed.class);
        checkRevisionEverywhere(fixture, 2);
    }

    @Test
    void should_reach_all_routers_when_a_watch_holder_is_killed_or_frozen() {
        for (int holder = 1; holder <= Fixture.DOMAINS; holder++) {
            Fixture fixture = Fixture.started(80 + holder, 2, settings -> {});
            fixture.deployment.kill(fixture.router(holder));
            fixture.deployment.pause(fixture.router(holder + Fixture.DOMAINS), 1_000);
            int receivingRouter = 1 + holder % Fixture.DOMAINS;
            confirm(fixture, receivingRouter, Fixture.intent(List.of(1), Fixture.TUTOR_V1));
            fixture.deployment.run(1_000 + IN_FORCE_WITHIN_MILLIS);
            fixture.deployment.restart(fixture.router(holder));
            fixture.deployment.run(IN_FORCE_WITHIN_MILLIS);
            checkRevisionEverywhere(fixture, 2);
        }
    }

    @Test
    void should_never_revert_when_routers_restart_while_a_revision_propagates() {
        for (int restartMillis = 0; restartMillis < 30; restartMillis += 2) {
            Fixture fixture = Fixture.started(100 + restartMillis);
            Map<EntryVmId, Long> highest = new HashMap<>();
            confirm(fixture, 1, Fixture.intent(List.of(1), Fixture.TUTOR_V1));
            fixture.deployment.run(restartMillis);
            VirtualRouter restarted = fixture.router(1 + restartMillis % Fixture.DOMAINS);
            fixture.deployment.kill(restarted);
            fixture.deployment.restart(restarted);
            fixture.faults.storeDown = restartMillis % 4 == 0;
            for (int round = 0; round < 200; round++) {
                for (VirtualRouter router : fixture.deployment.routers()) {
                    long seen = revision(fixture, router);
                    long before = highest.getOrDefault(router.vm().id(), 0L);
                    assertThat(seen == 0 || seen >= before)
                            .as("%s went from %d to %d", router.vm().id(), before, seen)
                            .isTrue();
                    highest.merge(router.vm().id(), seen, Math::max);
                }
                fixture.deployment.run(10);
            }
        }
    }

    @Test
    void should_serve_after_a_restart_of_all_but_one_with_the_store_down() {
        Fixture fixture = Fixture.started(140);
        fixture.faults.storeDown = true;
        for (int number = 2; number <= Fixture.DOMAINS; number++) {
            fixture.deployment.kill(fixture.router(number));
            fixture.deployment.restart(fixture.router(number));
        }
        fixture.deployment.run(2_000);
        assertThat(fixture.deployment.routers()).allMatch(VirtualRouter::isReady);
    }

    @Test
    void should_call_the_store_no_more_often_when_more_routers_run() {
        long readsOfSixRouters = watchReads(Fixture.started(150, 2, settings -> {}));
        long readsOfEighteenRouters = watchReads(Fixture.started(150, 6, settings -> {}));
        assertThat(readsOfEighteenRouters).isEqualTo(readsOfSixRouters);
    }

    private long watchReads(Fixture fixture) {
        fixture.deployment.run(10_000);
        // Every router reads the list of VMs once in five seconds, besides the watches that are counted here.
        long listCalls = fixture.routerCount() * 4L;
        long before = fixture.deployment.store().reads();
        fixture.deployment.run(20_000);
        return fixture.deployment.store().reads() - before - listCalls;
    }

    @Test
    void should_send_the_configuration_a_few_times_for_each_router_however_many_run() {
        Fixture fixture = Fixture.started(155, 6, settings -> {});
        long before = fixture.deployment.counter("configuration.told");
        confirm(fixture, 1, Fixture.intent(List.of(1), Fixture.TUTOR_V1));
        fixture.deployment.run(IN_FORCE_WITHIN_MILLIS);

        checkRevisionEverywhere(fixture, 2);
        assertThat(fixture.deployment.counter("configuration.told") - before)
                .isLessThanOrEqualTo(4L * fixture.routerCount());
    }

    @Test
    void should_refuse_an_invalid_intent_and_list_each_error() {
        Fixture fixture = Fixture.started(160);
        Intent.Customer invalidCustomer = new Intent.Customer("a.b", "none", 1, 12, List.of("missing@v1"));
        Intent invalidIntent = new Intent(List.of(), List.of(invalidCustomer), List.of(), List.of(), List.of());
        OperatorAnswer answer = fixture.deployment.planAndConfirm(fixture.router(1), invalidIntent);

        assertThat(answer).isInstanceOfSatisfying(OperatorAnswer.Refused.class, refused -> {
            assertThat(refused.code()).isEqualTo(ResultCode.INTENT_INVALID);
            assertThat(refused.details()).hasSize(4);
        });
        checkRevisionEverywhere(fixture, 1);
    }
}
