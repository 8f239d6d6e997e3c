package org.fuchsiatrail.internal.forwarding;

import java.util.List;

import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RecentRequestIdsTest {

    @Test
    void should_tell_whether_an_id_came_before() {
        RecentRequestIds ids = new RecentRequestIds();
        assertThat(ids.add("a1")).isTrue();
        assertThat(ids.add("a2")).isTrue();
        assertThat(ids.add("a1")).isFalse();
    }

    @Test
    void should_forget_the_oldest_ids() {
        RecentRequestIds ids = new RecentRequestIds();
        for (int number = 0; number < 100_000; number++) {
            ids.add("a" + number);
        }
        assertThat(ids.add("a0")).isTrue();
        assertThat(ids.add("a99999")).isFalse();
    }

    @Test
    void should_log_a_request_whose_id_came_before() {
        ForwardingFixture router = new ForwardingFixture();
        router.configured();
        router.start();
        router.call("a1", "/read/1", ForwardingFixture.KEY, List.of(), "", "");
        assertThat(repeatedIds(router)).isEmpty();
        router.call("a1", "/read/1", ForwardingFixture.KEY, List.of(), "", "");
        assertThat(repeatedIds(router)).containsExactly("a1");
    }

    private static List<Object> repeatedIds(ForwardingFixture router) {
        return router.all(ForwardingOutput.LogEvent.class).stream()
                .filter(line -> line.message().equals("Request has the id of an earlier one."))
                .map(line -> (Object) line.fields().get("request"))
                .toList();
    }
}
