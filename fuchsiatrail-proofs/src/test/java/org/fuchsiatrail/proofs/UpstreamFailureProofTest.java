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

/**
 * Requests that crash engines, retries, orders to engines, and restarts.
 *
 * <p>Guards against a request that crashes one engine after another, retries that multiply the load while an engine is
 * down, too many engines that load weights at once, and a fleet that cannot serve after all routers have restarted.
 */
class UpstreamFailureProofTest {

    private static final String POISON = "POISON";
    private static final double MAXIMUM_ATTEMPTS_PER_REQUEST = 1.1;

    @Test
    void should_lose_two_engines_at_most_to_a_request_that_crashes_them() {
        for (long seed = 1; seed <= 20; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.deployment.setPoisonText(POISON);
            List<CallerRecord> otherCallers = new ArrayList<>();
            for (int number = 0; number < 12; number++) {
                ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number, 10), 80);
                otherCallers.add(fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.BETA_KEY, call));
            }
            fixture.deployment.run(200);
            ChatCall poisonCall = Fixture.chatCall(Fixture.prompt("evil " + POISON, 10), 20);
            CallerRecord first = fixture.deployment.chat(fixture.router(1), Fixture.ALPHA_KEY, poisonCall);
            fixture.deployment.runUntil(first::isFinished, 30_000);
            for (int repetition = 0; repetition < 6; repetition++) {
                CallerRecord repeatedCaller =
                        fixture.deployment.chat(fixture.router(1 + repetition % 3), Fixture.ALPHA_KEY, poisonCall);
                fixture.deployment.run(500);
                assertThat(repeatedCaller.refusal().code()).isEqualTo(ResultCode.QUARANTINED);
            }
            fixture.deployment.runUntil(() -> fixture.allFinished(otherCallers), 60_000);

            assertThat(first.refusal().code()).isEqualTo(ResultCode.QUARANTINED);
            assertThat(fixture.deployment.poisonCrashes()).isLessThanOrEqualTo(2);
            assertThat(otherCallers).allMatch(VirtualDeployment::isComplete);
        }
    }

    @Test
    void should_lose_two_engines_at_most_when_the_caller_retries_at_another_router_after_each_crash() {
        for (long seed = 30; seed < 50; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.deployment.setPoisonText(POISON);
            ChatCall poisonCall = Fixture.chatCall(Fixture.prompt("evil " + POISON, 10), 20);
            for (int repetition = 0; repetition < 6; repetition++) {
                CallerRecord caller =
                        fixture.deployment.chat(fixture.router(1 + repetition % 3), Fixture.ALPHA_KEY, poisonCall);
                fixture.deployment.run(60);
                if (!caller.isFinished()) {
                    fixture.deployment.disconnect(caller);
                }
            }
            fixture.deployment.run(10_000);
            assertThat(fixture.deployment.poisonCrashes()).as("seed %d", seed).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void should_lose_two_engines_at_most_to_a_request_that_ends_them_silently() {
        for (long seed = 1; seed <= 20; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.deployment.setPoisonText(POISON);
            fixture.deployment.setPoisonEndsSilently(true);
            ChatCall poisonCall = Fixture.chatCall(Fixture.prompt("evil " + POISON, 10), 20);
            for (int repetition = 0; repetition < 4; repetition++) {
                CallerRecord caller =
                        fixture.deployment.chat(fixture.router(1 + repetition % 3), Fixture.ALPHA_KEY, poisonCall);
                fixture.deployment.runUntil(caller::isFinished, 30_000);
            }
            assertThat(fixture.deployment.poisonCrashes()).as("seed %d", seed).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void should_take_back_a_suspicion_when_an_engine_was_only_cut_off() {
        Fixture fixture = Fixture.started(60);
        List<CallerRecord> callers = new ArrayList<>();
        for (int number = 0; number < 24; number++) {
            ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number, 10), 1_500);
            callers.add(fixture.deployment.chat(fixture.router(1), Fixture.ALPHA_KEY, call));
        }
        fixture.deployment.run(1_000);
        for (int domain = 2; domain <= 3; domain++) {
            fixture.faults.isolatedDomains.add(new FailureDomain("domain-" + domain));
            fixture.deployment.run(1_500);
            fixture.faults.clear();
            fixture.deployment.run(4_000);
        }
        fixture.deployment.runUntil(() -> fixture.allFinished(callers), 120_000);

        assertThat(callers).allMatch(VirtualDeployment::isComplete);
        assertThat(fixture.deployment.counter("attempts.lost")).isGreaterThan(12);
    }

    @Test
    void should_make_few_attempts_while_an_engine_is_down() {
        Fixture fixture = Fixture.started(70);
        fixture.deployment.crash(Fixture.engineId(1), 60_000);
        fixture.deployment.run(2_000);
        long requestsBefore = fixture.deployment.counter("requests.chat");
        long attemptsBefore = fixture.deployment.counter("attempts.chat");
        List<CallerRecord> callers = new ArrayList<>();
        for (int number = 0; number < 300; number++) {
            ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number, 10), 5);
            callers.add(fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, call));
            fixture.deployment.run(40);
        }
        fixture.deployment.runUntil(() -> fixture.allFinished(callers), 20_000);
        long requests = fixture.deployment.counter("requests.chat") - requestsBefore;
        long attempts = fixture.deployment.counter("attempts.chat") - attemptsBefore;

        assertThat(callers).allMatch(VirtualDeployment::isComplete);
        assertThat((double) attempts / requests).isLessThanOrEqualTo(MAXIMUM_ATTEMPTS_PER_REQUEST);
    }

    @Test
    void should_load_no_more_than_two_engines_at_once_and_load_them_all() {
        for (long seed = 80; seed < 86; seed++) {
            Fixture fixture = Fixture.started(seed);
            fixture.deployment.planAndConfirm(fixture.router(1), Fixture.intent(Fixture.TUTOR_V1, Fixture.TUTOR_V2));
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
                            .allMatch(engine -> engine.models().contains(Fixture.TUTOR_V2)),
                    300_000);

            assertThat(loaded).as("all loaded, seed %d", seed).isTrue();
            assertThat(fixture.deployment.maximumConcurrentLoads()).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void should_serve_at_once_after_all_routers_restart() {
        Fixture fixture = Fixture.started(90);
        for (int number = 0; number < 30; number++) {
            ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number % 6, 40), 5);
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
            ChatCall call = Fixture.chatCall(Fixture.prompt("subject " + number % 6, 40), 5);
            callers.add(fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, call));
            fixture.deployment.run(20);
        }
        fixture.deployment.runUntil(() -> fixture.allFinished(callers), 20_000);
        assertThat(callers).allMatch(VirtualDeployment::isComplete);
    }
}
