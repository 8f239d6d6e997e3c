package org.fuchsiatrail.proofs;

import java.util.List;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;
import org.fuchsiatrail.standins.model.EngineModel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Promise 1 of docs/PROOFS.md: no answer relies on cache entries of a restarted engine, another customer or older
 * weights.
 *
 * <p>Guards against routers that still count on such entries when an engine restarts, or its weights are replaced or
 * withdrawn, between the lookup and the answer.
 */
class CacheProofTest {

    private final ChatCall call = Fixture.chatCall(Fixture.prompt("core", 100), 10);

    private CallerRecord sendChat(Fixture fixture, int router, String key) {
        return fixture.deployment.chat(fixture.router(router), key, call);
    }

    private int cachedTokens(CallerRecord caller) {
        return ((CallerAnswer.End) caller.lastAnswer()).cachedTokens();
    }

    private CallerRecord sendChatAndFinish(Fixture fixture, int router, String key) {
        CallerRecord caller = sendChat(fixture, router, key);
        fixture.deployment.runUntil(caller::isFinished, 20_000);
        return caller;
    }

    @Test
    void should_use_the_customers_own_cache_entries_on_every_router() {
        Fixture fixture = Fixture.started(1);
        sendChatAndFinish(fixture, 1, Fixture.ALPHA_KEY);
        for (int router = 1; router <= 3; router++) {
            assertThat(cachedTokens(sendChatAndFinish(fixture, router, Fixture.ALPHA_KEY)))
                    .isPositive();
        }
    }

    @Test
    void should_never_use_cache_entries_of_another_customer() {
        Fixture fixture = Fixture.started(2);
        for (int router = 1; router <= 3; router++) {
            sendChatAndFinish(fixture, router, Fixture.ALPHA_KEY);
        }
        for (int number = 1; number <= Fixture.ENGINES; number++) {
            assertThat(fixture.deployment.engines().get(Fixture.engineId(number)))
                    .isNotNull();
        }
        assertThat(cachedTokens(sendChatAndFinish(fixture, 1, Fixture.BETA_KEY)))
                .isZero();
    }

    @Test
    void should_not_rely_on_cache_entries_of_a_restarted_engine() {
        for (int delayMillis = 0; delayMillis < 12; delayMillis++) {
            Fixture fixture = Fixture.started(10 + delayMillis);
            sendChatAndFinish(fixture, 1, Fixture.ALPHA_KEY);
            CallerRecord caller = sendChat(fixture, 2, Fixture.ALPHA_KEY);
            fixture.deployment.run(delayMillis);
            for (int engine = 1; engine <= Fixture.ENGINES; engine++) {
                fixture.deployment.crash(Fixture.engineId(engine), 1);
            }
            fixture.deployment.runUntil(caller::isFinished, 20_000);
            assertThat(VirtualDeployment.isComplete(caller)).isTrue();
            Invariants.checkStream(caller, call, Fixture.TUTOR_V1, 0);
            CallerRecord later = sendChatAndFinish(fixture, 3, Fixture.ALPHA_KEY);
            assertThat(VirtualDeployment.isComplete(later)).isTrue();
            Invariants.checkStream(later, call, Fixture.TUTOR_V1, 0);
        }
    }

    @Test
    void should_drop_answers_of_other_weights_when_they_change_at_any_moment() {
        for (int delayMillis = 0; delayMillis < 160; delayMillis += 8) {
            Fixture fixture = Fixture.started(100 + delayMillis);
            CallerRecord caller = sendChat(fixture, 1, Fixture.ALPHA_KEY);
            fixture.deployment.run(delayMillis);
            fixture.deployment.engines().values().stream()
                    .filter(engine -> !engine.requests().isEmpty())
                    .findFirst()
                    .ifPresent(engine -> engine.replaceWeights(Fixture.TUTOR_V1, Fixture.TUTOR_V2));
            fixture.deployment.runUntil(caller::isFinished, 20_000);
            assertThat(VirtualDeployment.isComplete(caller)).isTrue();
            Invariants.checkStream(caller, call, Fixture.TUTOR_V1, 0);
        }
    }

    @Test
    void should_never_serve_weights_that_an_intent_no_longer_allows() {
        Fixture fixture = Fixture.started(300);
        sendChatAndFinish(fixture, 1, Fixture.ALPHA_KEY);
        OperatorAnswer answer = fixture.deployment.planAndConfirm(fixture.router(1), Fixture.intent(Fixture.TUTOR_V2));
        assertThat(answer).isInstanceOf(OperatorAnswer.Confirmed.class);
        fixture.deployment.runUntil(
                () -> fixture.deployment.engines().values().stream()
                        .allMatch(engine -> engine.models().contains(Fixture.TUTOR_V2)),
                60_000);
        fixture.deployment.run(1_000);
        CallerRecord caller = sendChatAndFinish(fixture, 2, Fixture.ALPHA_KEY);

        assertThat(caller.text()).isEqualTo(Fixture.referenceAnswer(call, Fixture.TUTOR_V2, 0));
        assertThat(cachedTokens(caller)).isZero();
    }

    @Test
    void should_not_start_a_request_that_waited_while_its_weights_were_withdrawn() {
        Fixture fixture = Fixture.started(302);
        for (int number = 0; number < 120; number++) {
            ChatCall waiting = Fixture.chatCall(Fixture.prompt("subject " + number, 300), 5);
            fixture.deployment.chat(fixture.router(1 + number % 3), Fixture.ALPHA_KEY, waiting);
        }
        fixture.deployment.run(100);
        OperatorAnswer answer = fixture.deployment.planAndConfirm(fixture.router(1), Fixture.intent(Fixture.TUTOR_V2));
        assertThat(answer).isInstanceOf(OperatorAnswer.Confirmed.class);
        fixture.deployment.run(5);
        int attemptsBefore = fixture.deployment.attemptCount();
        fixture.deployment.runUntil(() -> fixture.allFinished(fixture.deployment.callers()), 30_000);

        assertThat(fixture.deployment.attemptCount()).isEqualTo(attemptsBefore);
        assertThat(fixture.deployment.callers())
                .filteredOn(caller -> caller.refusal() != null)
                .isNotEmpty()
                .allMatch(caller -> caller.refusal().code() == ResultCode.MODEL_NOT_ALLOWED);
    }

    @Test
    void should_ignore_late_events_and_reports_of_an_engines_earlier_incarnation() {
        Fixture fixture = Fixture.started(301);
        sendChatAndFinish(fixture, 1, Fixture.ALPHA_KEY);
        UpstreamId usedEngine = fixture.deployment.engines().values().stream()
                .filter(engine -> engine.promptTokens() > 0)
                .map(engine -> engine.traits().id())
                .findFirst()
                .orElseThrow();
        EngineModel engine = fixture.deployment.engines().get(usedEngine);
        var lateEvents = engine.cacheEvents(0);
        var lateLoad = engine.load(fixture.deployment.now());
        fixture.deployment.crash(usedEngine, 10);
        fixture.deployment.run(3_000);
        long droppedBefore = fixture.deployment.counter("engines.old-incarnation-reports");
        fixture.deployment.inject(
                fixture.router(1), List.of(new Input.CacheEventsArrived(lateEvents), new Input.LoadArrived(lateLoad)));
        fixture.deployment.run(100);

        assertThat(fixture.deployment.counter("engines.old-incarnation-reports"))
                .isGreaterThan(droppedBefore);
        CallerRecord caller = sendChatAndFinish(fixture, 1, Fixture.ALPHA_KEY);
        assertThat(VirtualDeployment.isComplete(caller)).isTrue();
        assertThat(cachedTokens(caller)).isZero();
    }
}
