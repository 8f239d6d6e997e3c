package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.UpstreamEntry;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against placements that waste prefill or exceed the capacity: sessions that move between engines have their
 * shared parts prefilled again, routers that disagree on the home engine do the same, and a session with many requests
 * or more prompts than the engines can prefill must be spread or refused.
 */
class UpstreamPlacementTest {

    private static final int ENGINES = 6;
    private static final int SESSIONS = 62;

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void startEngines() {
        fixture.configured();
        for (int index = 1; index <= ENGINES; index++) {
            fixture.register(fixture.engine("engine-" + index, 1));
        }
        fixture.start();
    }

    private ForwardingOutput.Send sendPrompt(int session, int number) {
        RequestId request = fixture.call(
                "/mark/1",
                ForwardingFixture.KEY,
                ForwardingFixture.prompt("course-" + session % 4, "session-" + session, "own-" + number));
        return fixture.send(request);
    }

    @Test
    void should_keep_each_session_on_its_home_engine_at_low_load() {
        startEngines();
        Map<Integer, UpstreamId> homes = new HashMap<>();
        for (int number = 0; number < SESSIONS * 4; number++) {
            ForwardingOutput.Send send = sendPrompt(number % SESSIONS, number);
            fixture.finish(send);
            fixture.advanceTime(60);
            UpstreamId previousHome =
                    homes.put(number % SESSIONS, send.dispatch().upstream());
            assertThat(previousHome).isIn(null, send.dispatch().upstream());
        }
        assertThat(new HashSet<>(homes.values())).hasSize(ENGINES);
    }

    @Test
    void should_send_the_same_session_to_the_same_engine_from_every_router() {
        startEngines();
        ForwardingFixture otherRouter = new ForwardingFixture("vm-2");
        otherRouter.configured();
        for (int index = 1; index <= ENGINES; index++) {
            otherRouter.register(otherRouter.engine("engine-" + index, 1));
        }
        otherRouter.start();
        for (int session = 0; session < SESSIONS; session++) {
            ForwardingOutput.Send here = sendPrompt(session, session);
            fixture.finish(here);
            RequestId request = otherRouter.call(
                    "/mark/1",
                    ForwardingFixture.KEY,
                    ForwardingFixture.prompt("course-" + session % 4, "session-" + session, "own"));
            ForwardingOutput.Send there = otherRouter.send(request);
            otherRouter.finish(there);
            assertThat(there.dispatch().upstream()).isEqualTo(here.dispatch().upstream());
        }
    }

    @Test
    void should_spread_a_hot_session_and_fetch_its_parts_from_the_engine_that_prefilled_them() {
        startEngines();
        ForwardingOutput.Send first = sendPrompt(1, 0);
        fixture.finish(first);
        Set<UpstreamId> used = new HashSet<>();
        for (int number = 1; number <= 24; number++) {
            ForwardingOutput.Send send = sendPrompt(1, number);
            used.add(send.dispatch().upstream());
            if (!send.dispatch().upstream().equals(first.dispatch().upstream())) {
                assertThat(send.dispatch().fetchFrom()).isPresent();
            }
        }
        assertThat(used).hasSize(ENGINES);
    }

    @Test
    void should_refuse_immediately_with_a_retry_time_when_all_engines_are_overloaded() {
        startEngines();
        int refused = 0;
        for (int number = 0; number < 200; number++) {
            RequestId request = fixture.call(
                    "/mark/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c" + number, "s" + number, "o"));
            refused += fixture.refusal(request)
                            .filter(refusal -> refusal.retryAfterMillis() > 0)
                            .isPresent()
                    ? 1
                    : 0;
        }
        assertThat(refused).isGreaterThan(100);
    }

    @Test
    void should_prefer_the_own_failure_domain_for_calls_while_it_has_free_slots() {
        fixture.configured().register(fixture.recordService("near"));
        fixture.register(new UpstreamEntry(
                new UpstreamId("far"),
                1,
                "records",
                "10.2.0.1:80",
                new FailureDomain("lima-b"),
                6,
                false,
                "v1",
                Map.of()));
        fixture.start();
        Map<String, Integer> sent = new HashMap<>();
        for (int index = 0; index < 12; index++) {
            sent.merge(
                    fixture.send(fixture.call("/issue/" + index))
                            .dispatch()
                            .upstream()
                            .value(),
                    1,
                    Integer::sum);
        }
        assertThat(sent.get("near")).isBetween(6, 8);
    }
}
