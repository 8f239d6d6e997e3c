package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.VersionShares;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a stream that joins two versions since the shares under which it began are unreadable. */
class UnreadableSharesJoinVersionsTest {

    /** The time in which peers reply and the store is read, in milliseconds. */
    private static final long LOOKUP_MILLIS = 1_000;

    @Test
    void should_refuse_a_stream_that_may_have_begun_under_unreadable_shares() {
        ForwardingFixture router = new ForwardingFixture().configured();
        for (String engine : List.of("e1", "e2")) {
            router.register(ForwardingFixture.entry(
                    engine, "tutors", 64, Map.of(ForwardingFixture.MODEL, 1L), false, 1, "lima-a", "v" + engine));
        }
        router.put("members/vm-1", new StoreItemContent.Member(router.self(), "", true, true));
        VersionShares shares = new VersionShares("tutors", 2, List.of(new VersionShares.Share("ve2", 1)));
        router.put("versions/tutors/current", new StoreItemContent.CurrentVersionShares(shares));
        router.put("versions/tutors/1", new StoreItemContent.Unreadable("why"));
        router.start();
        RequestId request = router.call("b-1", "/ask/1", ForwardingFixture.KEY, List.of(), "5", "a-1");
        router.advanceTime(LOOKUP_MILLIS);
        assertThat(router.sends(request)).isEmpty();
        assertThat(router.refusal(request))
                .hasValueSatisfying(refusal -> assertThat(refusal.code()).isEqualTo(ResultCode.STREAM_NOT_RESUMABLE));
    }
}
