package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against calls that must not be repeated and are sent one after the other on paths that hang. */
class HangingPathTakesUnrepeatableCallsTest {

    private static final long CALL_INTERVAL_MILLIS = 250;
    private static final long CUT_MILLIS = 12_000;

    private final ForwardingFixture router = new ForwardingFixture().configured();

    HangingPathTakesUnrepeatableCallsTest() {
        for (int number = 1; number <= 3; number++) {
            router.register(router.recordService("service-" + number));
        }
        EntryVm peer = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        router.put("members/vm-2", new StoreItemContent.Member(peer, "10.0.0.2:80"));
        router.start();
        router.advanceTime(5_000);
    }

    private boolean isRelayed(RequestId request) {
        return router.send(request).dispatch().toRouter();
    }

    /** Sends calls while the own paths hang and the other router answers; returns how many were not relayed. */
    private int lostDuringCut(long cutMillis, String... paths) {
        int lost = 0;
        for (long millis = 0; millis < cutMillis; millis += CALL_INTERVAL_MILLIS) {
            RequestId request = router.call(paths[(int) (millis / CALL_INTERVAL_MILLIS) % paths.length] + millis);
            if (isRelayed(request)) {
                router.answered(router.send(request), 200);
            } else {
                lost++;
            }
            router.advanceTime(CALL_INTERVAL_MILLIS);
        }
        return lost;
    }

    @Test
    void should_relay_calls_after_the_first_that_got_no_answer_and_try_the_own_paths_with_few() {
        int detecting = lostDuringCut(1_000, "/issue/");
        assertThat(detecting).isLessThanOrEqualTo(4);
        assertThat(lostDuringCut(CUT_MILLIS, "/issue/")).isLessThanOrEqualTo(2);
    }

    @Test
    void should_use_the_own_paths_again_once_one_of_them_answers() {
        lostDuringCut(1_000, "/issue/");
        RequestId trial = router.call("/issue/trial");
        for (int attempt = 0; isRelayed(trial) && attempt < 100; attempt++) {
            router.answered(router.send(trial), 200);
            router.advanceTime(CALL_INTERVAL_MILLIS);
            trial = router.call("/issue/trial" + attempt);
        }
        assertThat(isRelayed(trial)).isFalse();
        assertThat(isRelayed(router.call("/issue/beside"))).isTrue();
        router.answered(router.send(trial), 200);
        assertThat(isRelayed(router.call("/issue/next"))).isFalse();
    }

    @Test
    void should_try_lost_paths_with_one_repeatable_call_at_a_time() {
        lostDuringCut(2_000, "/issue/");
        router.advanceTime(2_100);
        RequestId trial = router.call("/read/trial");
        assertThat(isRelayed(trial)).isFalse();
        assertThat(isRelayed(router.call("/read/beside"))).isTrue();
    }

    @Test
    void should_relay_the_few_calls_of_a_router_with_little_traffic() {
        router.call("/issue/first");
        router.advanceTime(900);
        for (int number = 0; number < 3; number++) {
            RequestId request = router.call("/issue/" + number);
            assertThat(isRelayed(request)).isTrue();
            router.answered(router.send(request), 200);
            router.advanceTime(1_000);
        }
    }

    @Test
    void should_not_take_one_silent_upstream_for_lost_paths_while_others_answer() {
        router.call("/issue/silent");
        router.advanceTime(700);
        RequestId answered = router.call("/issue/answered");
        router.answered(router.send(answered), 200);
        router.advanceTime(100);
        RequestId next = router.call("/issue/next");
        router.answered(router.send(next), 200);
        assertThat(isRelayed(next)).isFalse();
    }
}
