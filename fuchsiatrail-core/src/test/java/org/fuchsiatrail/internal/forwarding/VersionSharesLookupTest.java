package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.VersionShares;
import org.fuchsiatrail.forwarding.VersionShares.Share;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that a router without any memory of them resumes at a wrong version, or does not resume. */
class VersionSharesLookupTest {

    private static final EntryVm PEER =
            new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
    private static final String CURRENT = "versions/tutors/current";
    private static final VersionShares FIRST_ONLY = new VersionShares("tutors", 1, List.of(new Share("v1", 1)));
    private static final VersionShares SECOND_ONLY = secondOnly(2);
    private static final long REPLIES_AWAITED_MILLIS = 260;
    private static final long READ_INTERVAL_MILLIS = 500;
    /** The time within which a router learns of a change in the store, in milliseconds. */
    private static final long WATCH_MILLIS = 100;

    /** The lease of replaced shares: 20 s out of touch, 15 s in which streams may be resumed, and a margin of 8 s. */
    private static final long REPLACED_SHARES_LEASE_MILLIS = 43_000;

    private final ForwardingFixture fixture = new ForwardingFixture();

    private static VersionShares secondOnly(long epoch) {
        return new VersionShares("tutors", epoch, List.of(new Share("v2", 1)));
    }

    /** A version with one engine gets no share, so the shares of these tests stay in force. */
    @BeforeEach
    void start() {
        fixture.configured();
        register("e0", "v1");
        register("e2", "v2");
        register("e3", "v2");
        fixture.put("members/vm-1", new StoreItemContent.Member(fixture.self(), "", true, true));
        fixture.put("members/vm-2", new StoreItemContent.Member(PEER, "", true, true));
    }

    private void register(String id, String softwareVersion) {
        fixture.register(ForwardingFixture.entry(
                id, "tutors", 64, Map.of(ForwardingFixture.MODEL, 1L), false, 1, "lima-a", softwareVersion));
    }

    private RequestId resume(String attemptId) {
        return fixture.call("b-" + attemptId, "/ask/1", ForwardingFixture.KEY, List.of(), "5", attemptId);
    }

    private static long streamKey(String attemptId) {
        return StreamOrigins.streamKey(new ForwardedCall(
                attemptId, "", "", "", 0, "", 0, 0, List.<ForwardedCall.PromptPart>of(), "", "", Optional.empty(), 0));
    }

    private String versionOf(RequestId request) {
        String engine = fixture.send(request).dispatch().upstream().value();
        return engine.equals("e0") || engine.equals("e1") ? "v1" : "v2";
    }

    private void assertRefused(RequestId request) {
        assertThat(fixture.sends(request)).isEmpty();
        assertThat(fixture.refusal(request))
                .hasValueSatisfying(refusal -> assertThat(refusal.code()).isEqualTo(ResultCode.STREAM_NOT_RESUMABLE));
    }

    private static StoreItemContent replaced(VersionShares shares) {
        return new StoreItemContent.ReplacedVersionShares(shares, false, List.of());
    }

    private static StoreItemContent completed(VersionShares shares, String softwareVersion, String... attemptIds) {
        long[] streams = List.of(attemptIds).stream()
                .mapToLong(VersionSharesLookupTest::streamKey)
                .toArray();
        return new StoreItemContent.ReplacedVersionShares(
                shares, true, List.of(new PeerMessage.StartedStreams("tutors", softwareVersion, streams)));
    }

    @Test
    void should_resume_a_stream_at_the_version_that_the_shares_tell_although_no_router_knows_it() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(SECOND_ONLY));
        fixture.start();
        RequestId request = resume("a-1");
        fixture.advanceTime(REPLIES_AWAITED_MILLIS);
        assertThat(versionOf(request)).isEqualTo("v2");
    }

    @Test
    void should_refuse_a_stream_whose_version_differs_under_replaced_shares() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(SECOND_ONLY));
        fixture.put("versions/tutors/1", replaced(FIRST_ONLY));
        fixture.start();
        RequestId request = resume("a-1");
        fixture.advanceTime(REPLIES_AWAITED_MILLIS);
        assertRefused(request);
    }

    @Test
    void should_resume_open_streams_at_their_reported_version_and_others_as_newer_shares_tell() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(SECOND_ONLY));
        fixture.put("versions/tutors/1", completed(FIRST_ONLY, "v1", "a-1"));
        fixture.start();
        RequestId reported = resume("a-1");
        RequestId other = resume("a-2");
        fixture.advanceTime(REPLIES_AWAITED_MILLIS + READ_INTERVAL_MILLIS);
        assertThat(versionOf(reported)).isEqualTo("v1");
        assertThat(versionOf(other)).isEqualTo("v2");
    }

    @Test
    void should_refuse_a_stream_that_may_have_begun_before_shares_were_set() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(1)));
        fixture.put("versions/tutors/0", replaced(VersionShares.unknown("tutors", 0)));
        fixture.start();
        RequestId request = resume("a-1");
        fixture.advanceTime(REPLIES_AWAITED_MILLIS);
        assertRefused(request);
    }

    @Test
    void should_refuse_a_stream_at_last_when_the_store_does_not_answer() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(SECOND_ONLY));
        fixture.start();
        fixture.storeAnswers = false;
        RequestId request = resume("a-1");
        fixture.advanceTime(REPLIES_AWAITED_MILLIS);
        assertThat(fixture.refusal(request)).isEmpty();
        fixture.advanceTime(1_500);
        assertRefused(request);
    }

    @Test
    void should_not_go_by_shares_while_a_router_does_not_apply_them() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(SECOND_ONLY));
        fixture.put("members/vm-2", new StoreItemContent.Member(PEER, "", false, true));
        fixture.start();
        RequestId request = resume("a-1");
        fixture.advanceTime(REPLIES_AWAITED_MILLIS);
        assertRefused(request);
        assertThat(fixture.versionSharesCalls).isZero();
    }

    @Test
    void should_read_the_store_twice_a_second_at_most_for_any_number_of_streams() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(SECOND_ONLY));
        fixture.remove("servers/e0");
        fixture.start();
        for (int number = 0; number < 200; number++) {
            resume("a-" + number);
            fixture.advanceTime(10);
        }
        assertThat(fixture.versionSharesCalls).isLessThanOrEqualTo(5);
    }

    @Test
    void should_call_a_store_that_refuses_changes_four_times_a_second_at_most() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(FIRST_ONLY));
        fixture.start();
        fixture.storeRefuses = true;
        fixture.advanceTime(6_000);
        long calls = fixture.all(ForwardingOutput.CallStore.class).stream()
                .filter(call -> call.request().equals(new StoreCall.GrantLease(REPLACED_SHARES_LEASE_MILLIS)))
                .count();
        assertThat(calls).isBetween(3L, 25L);
    }

    @Test
    void should_begin_streams_only_at_the_version_that_the_shares_tell() {
        register("e1", "v1");
        VersionShares shares = new VersionShares("tutors", 1, List.of(new Share("v1", 1), new Share("v2", 1)));
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(shares));
        fixture.start();
        for (int number = 0; number < 40; number++) {
            RequestId request = fixture.call("a-" + number, "/ask/1", ForwardingFixture.KEY, List.of(), "", "");
            assertThat(versionOf(request))
                    .isEqualTo(shares.versionOf(streamKey("a-" + number)).orElseThrow());
        }
    }

    @Test
    void should_begin_streams_at_engines_that_have_just_begun_to_drain_until_the_shares_follow() {
        register("e1", "v1");
        VersionShares shares = new VersionShares("tutors", 1, List.of(new Share("v1", 1), new Share("v2", 1)));
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(shares));
        fixture.start();
        for (String id : List.of("e0", "e1")) {
            fixture.register(ForwardingFixture.entry(
                    id, "tutors", 64, Map.of(ForwardingFixture.MODEL, 1L), true, 1, "lima-a", "v1"));
        }
        for (int number = 0; number < 10; number++) {
            RequestId request = fixture.call("a-" + number, "/ask/1", ForwardingFixture.KEY, List.of(), "", "");
            assertThat(versionOf(request))
                    .isEqualTo(shares.versionOf(streamKey("a-" + number)).orElseThrow());
        }
    }

    @Test
    void should_report_open_streams_only_once_newer_shares_are_in_force_here() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(1)));
        fixture.start();
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(2)));
        fixture.advanceTime(WATCH_MILLIS);
        RequestId request = fixture.call("a-1", "/ask/1", ForwardingFixture.KEY, List.of(), "", "");
        fixture.started(fixture.send(request));
        query(2);
        assertThat(replies()).isEmpty();
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(3)));
        fixture.advanceTime(WATCH_MILLIS);
        query(2);
        assertThat(replies().getFirst().streams().getFirst().streams()).containsExactly(streamKey("a-1"));
        assertThat(replies().getFirst().streams().getFirst().softwareVersion()).isEqualTo("v2");
    }

    @Test
    void should_report_streams_that_their_callers_lost_before_their_end() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(1)));
        fixture.start();
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(2)));
        fixture.advanceTime(WATCH_MILLIS);
        RequestId request = fixture.call("a-1", "/ask/1", ForwardingFixture.KEY, List.of(), "", "");
        fixture.started(fixture.send(request));
        fixture.tick(new ForwardingInput.CallerDisconnected(request));
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(3)));
        fixture.advanceTime(WATCH_MILLIS);
        query(2);
        assertThat(replies().getFirst().streams().getFirst().streams()).containsExactly(streamKey("a-1"));
    }

    @Test
    void should_not_report_for_the_time_before_its_start() {
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(1)));
        fixture.start();
        fixture.put(CURRENT, new StoreItemContent.CurrentVersionShares(secondOnly(2)));
        fixture.advanceTime(WATCH_MILLIS);
        query(1);
        assertThat(replies()).isEmpty();
        fixture.advanceTime(9_000);
        query(1);
        assertThat(replies()).isEmpty();
        fixture.advanceTime(1_100);
        query(1);
        assertThat(replies()).hasSize(1);
    }

    private void query(long epoch) {
        fixture.tick(new ForwardingInput.PeerMessageReceived(
                PEER.id(),
                PeerMessage.ForwardingNews.builder(PEER, 0)
                        .openStreamQueries(List.of(new PeerMessage.OpenStreamQuery("tutors", epoch)))
                        .build()));
    }

    private List<PeerMessage.OpenStreamReply> replies() {
        return fixture.all(ForwardingOutput.SendToPeer.class).stream()
                .flatMap(message -> message.message().openStreamReplies().stream())
                .toList();
    }
}
