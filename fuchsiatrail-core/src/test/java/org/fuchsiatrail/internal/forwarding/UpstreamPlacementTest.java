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

class UpstreamPlacementTest {

    private static final int ENGINES = 6;
    private static final int SESSIONS = 62;

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void engines() {
        fixture.configured();
        for (int each = 1; each <= ENGINES; each++) {
            fixture.list(fixture.tutor("engine-" + each, 1));
        }
        fixture.start();
    }

    private ForwardingOutput.Send essay(int session, int number) {
        RequestId request = fixture.call(
                "/mark/1",
                ForwardingFixture.KEY,
                ForwardingFixture.prompt("course-" + session % 4, "session-" + session, "own-" + number));
        return fixture.send(request);
    }

    @Test
    void should_keep_sessions_on_their_engine_at_low_load() {
        engines();
        Map<Integer, UpstreamId> homes = new HashMap<>();
        for (int number = 0; number < SESSIONS * 4; number++) {
            ForwardingOutput.Send send = essay(number % SESSIONS, number);
            fixture.finish(send);
            fixture.pass(60);
            UpstreamId before = homes.put(number % SESSIONS, send.dispatch().upstream());
            assertThat(before).isIn(null, send.dispatch().upstream());
        }
        assertThat(new HashSet<>(homes.values())).hasSize(ENGINES);
    }

    @Test
    void should_send_the_same_session_to_the_same_engine_from_every_router() {
        engines();
        ForwardingFixture other = new ForwardingFixture("vm-2");
        other.configured();
        for (int each = 1; each <= ENGINES; each++) {
            other.list(other.tutor("engine-" + each, 1));
        }
        other.start();
        for (int session = 0; session < SESSIONS; session++) {
            ForwardingOutput.Send here = essay(session, session);
            fixture.finish(here);
            RequestId request = other.call(
                    "/mark/1",
                    ForwardingFixture.KEY,
                    ForwardingFixture.prompt("course-" + session % 4, "session-" + session, "own"));
            ForwardingOutput.Send there = other.send(request);
            other.finish(there);
            assertThat(there.dispatch().upstream()).isEqualTo(here.dispatch().upstream());
        }
    }

    @Test
    void should_spread_one_hot_session_and_fetch_its_parts_from_the_engine_that_read_them() {
        engines();
        ForwardingOutput.Send first = essay(1, 0);
        fixture.finish(first);
        Set<UpstreamId> used = new HashSet<>();
        for (int number = 1; number <= 24; number++) {
            ForwardingOutput.Send send = essay(1, number);
            used.add(send.dispatch().upstream());
            if (!send.dispatch().upstream().equals(first.dispatch().upstream())) {
                assertThat(send.dispatch().fetchFrom()).isPresent();
            }
        }
        assertThat(used).hasSize(ENGINES);
    }

    @Test
    void should_refuse_at_once_with_a_time_to_come_back_when_every_engine_is_far_behind() {
        engines();
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
    void should_prefer_the_own_failure_domain_for_calls_while_it_has_places() {
        fixture.configured().list(fixture.records("near"));
        fixture.list(new UpstreamEntry(
                new UpstreamId("far"), 1, "records", "10.2.0.1:80", new FailureDomain("lima-b"), 6, false, Map.of()));
        fixture.start();
        Map<String, Integer> sent = new HashMap<>();
        for (int each = 0; each < 12; each++) {
            sent.merge(
                    fixture.send(fixture.call("/issue/" + each))
                            .dispatch()
                            .upstream()
                            .value(),
                    1,
                    Integer::sum);
        }
        assertThat(sent.get("near")).isBetween(6, 8);
    }
}
