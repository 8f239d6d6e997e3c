package org.fuchsiatrail.proofs;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that crash engines, retries, orders to engines, and restarts. */
class UpstreamFailureProofTest {

    private static final String POISON = "POISON";
    private static final double MOST_ATTEMPTS_A_REQUEST = 1.1;

    @Test
    void should_lose_two_engines_at_most_to_a_request_that_crashes_them() {
        for (long seed = 1; seed <= 20; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.deployment.poison(POISON);
            List<CallerRecord> innocents = new ArrayList<>();
            for (int number = 0; number < 12; number++) {
                ChatCall call = Fixture.chat(Fixture.prompt("subject " + number, 10), 80);
                innocents.add(fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.BETA_KEY, call));
            }
            fixture.deployment.run(200);
            ChatCall guilty = Fixture.chat(Fixture.prompt("evil " + POISON, 10), 20);
            CallerRecord first = fixture.deployment.chat(fixture.router(1), Fixture.ALPHA_KEY, guilty);
            fixture.deployment.runUntil(first::isOver, 30_000);
            for (int again = 0; again < 6; again++) {
                CallerRecord repeated =
                        fixture.deployment.chat(fixture.router(1 + again % 3), Fixture.ALPHA_KEY, guilty);
                fixture.deployment.run(500);
                assertThat(repeated.refusal().code()).isEqualTo(ResultCode.QUARANTINED);
            }
            fixture.deployment.runUntil(() -> fixture.allOver(innocents), 60_000);

            assertThat(first.refusal().code()).isEqualTo(ResultCode.QUARANTINED);
            assertThat(fixture.deployment.poisonCrashes()).isLessThanOrEqualTo(2);
            assertThat(innocents).allMatch(VirtualDeployment::isWhole);
        }
    }

    @Test
    void should_lose_two_engines_at_most_when_its_caller_sends_it_to_another_router_after_each_crash() {
        for (long seed = 30; seed < 50; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.deployment.poison(POISON);
            ChatCall guilty = Fixture.chat(Fixture.prompt("evil " + POISON, 10), 20);
            for (int again = 0; again < 6; again++) {
                CallerRecord caller = fixture.deployment.chat(fixture.router(1 + again % 3), Fixture.ALPHA_KEY, guilty);
                fixture.deployment.run(60);
                if (!caller.isOver()) {
                    fixture.deployment.leave(caller);
                }
            }
            fixture.deployment.run(10_000);
            assertThat(fixture.deployment.poisonCrashes()).as("seed %d", seed).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void should_take_back_a_suspicion_when_an_engine_was_only_cut_off() {
        Fixture fixture = Fixture.started(60);
        List<CallerRecord> callers = new ArrayList<>();
        for (int number = 0; number < 24; number++) {
            ChatCall call = Fixture.chat(Fixture.prompt("subject " + number, 10), 1_500);
            callers.add(fixture.deployment.chat(fixture.router(1), Fixture.ALPHA_KEY, call));
        }
        fixture.deployment.run(1_000);
        for (int cut = 2; cut <= 3; cut++) {
            fixture.faults.cutFromOthers.add(new FailureDomain("domain-" + cut));
            fixture.deployment.run(1_500);
            fixture.faults.heal();
            fixture.deployment.run(4_000);
        }
        fixture.deployment.runUntil(() -> fixture.allOver(callers), 120_000);

        assertThat(callers).allMatch(VirtualDeployment::isWhole);
        assertThat(fixture.deployment.counter("attempts.lost")).isGreaterThan(12);
    }

    @Test
    void should_make_few_attempts_while_an_engine_is_down() {
        Fixture fixture = Fixture.started(70);
        fixture.deployment.crash(Fixture.engineId(1), 60_000);
        fixture.deployment.run(2_000);
        long requests = fixture.deployment.counter("requests.chat");
        long attempts = fixture.deployment.counter("attempts.chat");
        List<CallerRecord> callers = new ArrayList<>();
        for (int number = 0; number < 300; number++) {
            ChatCall call = Fixture.chat(Fixture.prompt("subject " + number, 10), 5);
            callers.add(fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, call));
            fixture.deployment.run(40);
        }
        fixture.deployment.runUntil(() -> fixture.allOver(callers), 20_000);
        long madeRequests = fixture.deployment.counter("requests.chat") - requests;
        long madeAttempts = fixture.deployment.counter("attempts.chat") - attempts;

        assertThat(callers).allMatch(VirtualDeployment::isWhole);
        assertThat((double) madeAttempts / madeRequests).isLessThanOrEqualTo(MOST_ATTEMPTS_A_REQUEST);
    }

    @Test
    void should_load_no_more_than_two_engines_at_once_and_load_them_all() {
        for (long seed = 80; seed < 86; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.deployment.putInForce(fixture.router(1), Fixture.intent(Fixture.TUTOR, Fixture.TUTOR_NEXT));
            if (seed % 2 == 0) {
                fixture.deployment.run(1_500);
                fixture.deployment.kill(fixture.router(1 + (int) (seed % 3)));
            } else {
                fixture.deployment.run(500);
                fixture.deployment.pause(fixture.router(1), 20_000);
                fixture.deployment.pause(fixture.router(2), 17_000);
            }
            boolean loaded = fixture.deployment.runUntil(
                    () -> fixture.deployment.engines().values().stream()
                            .allMatch(engine -> engine.models().contains(Fixture.TUTOR_NEXT)),
                    300_000);

            assertThat(loaded).as("all loaded, seed %d", seed).isTrue();
            assertThat(fixture.deployment.mostLoads()).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void should_serve_at_once_after_all_routers_restart() {
        Fixture fixture = Fixture.started(90);
        for (int number = 0; number < 30; number++) {
            ChatCall call = Fixture.chat(Fixture.prompt("subject " + number % 6, 40), 5);
            fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, call);
            fixture.deployment.run(100);
        }
        fixture.deployment.routers().forEach(router -> {
            fixture.deployment.kill(router);
            fixture.deployment.restart(router);
        });
        boolean ready = fixture.deployment.runUntil(
                () -> fixture.deployment.routers().stream().allMatch(router -> router.isReady()), 500);
        assertThat(ready).isTrue();
        List<CallerRecord> callers = new ArrayList<>();
        for (int number = 0; number < 30; number++) {
            ChatCall call = Fixture.chat(Fixture.prompt("subject " + number % 6, 40), 5);
            callers.add(fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, call));
            fixture.deployment.run(20);
        }
        fixture.deployment.runUntil(() -> fixture.allOver(callers), 20_000);
        assertThat(callers).allMatch(VirtualDeployment::isWhole);
    }
}
