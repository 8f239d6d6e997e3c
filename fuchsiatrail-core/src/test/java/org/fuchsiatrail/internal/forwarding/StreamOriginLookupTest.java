package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that are resumed at a guessed software version, and ones that are refused without need. */
class StreamOriginLookupTest {

    private static final EntryVm FIRST_PEER = member("vm-2");
    private static final EntryVm SECOND_PEER = member("vm-3");
    private static final long OBSERVED_MILLIS = 40_000;

    private final ForwardingFixture fixture = new ForwardingFixture();

    private static EntryVm member(String name) {
        return new EntryVm(new EntryVmId(name), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
    }

    private void startWithPeers(String... softwareVersions) {
        fixture.configured();
        for (int number = 0; number < softwareVersions.length; number++) {
            register("e" + number, softwareVersions[number]);
        }
        fixture.put("members/vm-1", new StoreItemContent.Member(fixture.self()));
        fixture.put("members/vm-2", new StoreItemContent.Member(FIRST_PEER));
        fixture.put("members/vm-3", new StoreItemContent.Member(SECOND_PEER));
        fixture.start();
    }

    private void register(String id, String softwareVersion) {
        fixture.register(ForwardingFixture.entry(
                id, "tutors", 64, Map.of(ForwardingFixture.MODEL, 1L), false, 1, "lima-a", softwareVersion));
    }

    private RequestId resume(String attemptId) {
        return fixture.call("b-1", "/ask/1", ForwardingFixture.KEY, List.of(), "5", attemptId);
    }

    private static long streamKey(String attemptId) {
        return StreamOrigins.streamKey(new ForwardedCall(
                attemptId, "", "", "", 0, "", 0, 0, List.<ForwardedCall.PromptPart>of(), "", "", Optional.empty(), 0));
    }

    private void receive(EntryVm peer, ForwardingNewsBuilder message) {
        fixture.tick(new ForwardingInput.PeerMessageReceived(peer.id(), message.build()));
    }

    private void reply(EntryVm peer, boolean known, String softwareVersion, List<String> recent, long observedMillis) {
        receive(
                peer,
                PeerMessage.ForwardingNews.builder(peer, 0)
                        .streamReplies(List.of(new PeerMessage.StreamReply(
                                streamKey("a-1"),
                                known,
                                known ? "tutors" : "",
                                softwareVersion,
                                recent,
                                observedMillis))));
    }

    private String versionOf(RequestId request) {
        String engine = fixture.send(request).dispatch().upstream().value();
        return engine.equals("e0") ? "v1" : "v2";
    }

    private void assertRefusedAtOnce(RequestId request) {
        assertThat(fixture.sends(request)).isEmpty();
        assertThat(fixture.refusal(request)).hasValueSatisfying(refusal -> {
            assertThat(refusal.code()).isEqualTo(ResultCode.STREAM_NOT_RESUMABLE);
            assertThat(refusal.retryAfterMillis()).isPositive();
        });
    }

    @Test
    void should_resume_a_stream_that_a_peer_reported_at_its_version() {
        startWithPeers("v1", "v2");
        for (String version : List.of("v1", "v2")) {
            String attemptId = "a-" + version;
            receive(
                    FIRST_PEER,
                    PeerMessage.ForwardingNews.builder(FIRST_PEER, 0)
                            .startedStreams(List.of(new PeerMessage.StartedStreams(
                                    "tutors", version, new long[] {streamKey(attemptId)}))));
            assertThat(versionOf(resume(attemptId))).isEqualTo(version);
        }
    }

    @Test
    void should_ask_all_peers_for_an_unknown_stream_and_resume_it_when_one_knows_it() {
        startWithPeers("v1", "v2");
        RequestId request = resume("a-1");
        assertThat(fixture.all(ForwardingOutput.SendToPeer.class).stream()
                        .filter(message -> !message.message().streamQueries().isEmpty())
                        .map(ForwardingOutput.SendToPeer::to))
                .containsExactlyInAnyOrder(FIRST_PEER.id(), SECOND_PEER.id());
        assertThat(fixture.sends(request)).isEmpty();
        reply(SECOND_PEER, true, "v2", List.of("v1", "v2"), OBSERVED_MILLIS);
        assertThat(versionOf(request)).isEqualTo("v2");
    }

    @Test
    void should_refuse_a_stream_that_nobody_knows_while_two_versions_serve() {
        startWithPeers("v1", "v2");
        RequestId request = resume("a-1");
        reply(FIRST_PEER, false, "", List.of("v1", "v2"), OBSERVED_MILLIS);
        reply(SECOND_PEER, false, "", List.of("v1", "v2"), OBSERVED_MILLIS);
        assertRefusedAtOnce(request);
    }

    @Test
    void should_refuse_an_unknown_stream_if_a_peer_has_seen_another_version_lately() {
        startWithPeers("v1");
        RequestId request = resume("a-1");
        reply(FIRST_PEER, false, "", List.of("v0", "v1"), OBSERVED_MILLIS);
        reply(SECOND_PEER, false, "", List.of("v1"), OBSERVED_MILLIS);
        assertRefusedAtOnce(request);
    }

    @Test
    void should_resume_an_unknown_stream_when_most_routers_have_seen_one_version_throughout() {
        startWithPeers("v1");
        RequestId request = resume("a-1");
        reply(FIRST_PEER, false, "", List.of("v1"), OBSERVED_MILLIS);
        fixture.advanceTime(300);
        assertThat(versionOf(request)).isEqualTo("v1");
    }

    @Test
    void should_refuse_an_unknown_stream_within_a_quarter_second_when_no_peer_replies() {
        startWithPeers("v1");
        RequestId request = resume("a-1");
        fixture.advanceTime(260);
        assertRefusedAtOnce(request);
    }

    @Test
    void should_refuse_an_unknown_stream_when_all_routers_have_just_started() {
        startWithPeers("v1");
        RequestId request = resume("a-1");
        reply(FIRST_PEER, false, "", List.of("v1"), 1_000);
        reply(SECOND_PEER, false, "", List.of("v1"), 1_000);
        assertRefusedAtOnce(request);
    }

    @Test
    void should_bind_a_stream_that_is_resumed_without_naming_its_first_attempt() {
        startWithPeers("v1", "v2");
        RequestId request = resume("");
        reply(FIRST_PEER, false, "", List.of("v1", "v2"), OBSERVED_MILLIS);
        fixture.advanceTime(260);
        assertRefusedAtOnce(request);
    }

    @Test
    void should_refuse_at_once_to_resume_a_stream_whose_version_no_upstream_has() {
        startWithPeers("v1", "v2");
        receive(
                FIRST_PEER,
                PeerMessage.ForwardingNews.builder(FIRST_PEER, 0)
                        .startedStreams(List.of(
                                new PeerMessage.StartedStreams("tutors", "v0", new long[] {streamKey("a-1")}))));
        assertRefusedAtOnce(resume("a-1"));
    }

    @Test
    void should_abort_a_stream_at_once_when_the_only_upstream_of_its_version_has_ended() {
        startWithPeers("v1", "v2");
        RequestId request = fixture.call("/ask/1");
        String engine = fixture.send(request).dispatch().upstream().value();
        fixture.started(fixture.send(request));
        fixture.remove("servers/" + engine);
        fixture.lost(fixture.send(request), true, "1");
        assertThat(fixture.sends(request)).hasSize(1);
        assertThat(fixture.isAborted(request)).isTrue();
    }

    @Test
    void should_reply_what_began_a_stream_and_which_versions_served_lately() {
        startWithPeers("v1", "v2");
        RequestId request = fixture.call("a-1", "/ask/1", ForwardingFixture.KEY, List.of(), "", "");
        fixture.started(fixture.send(request));
        fixture.remove("servers/e0");
        fixture.advanceTime(5_000);
        receive(
                FIRST_PEER,
                PeerMessage.ForwardingNews.builder(FIRST_PEER, 0)
                        .streamQueries(List.of(new PeerMessage.StreamQuery(streamKey("a-1"), List.of("tutors")))));
        PeerMessage.StreamReply reply = fixture.all(ForwardingOutput.SendToPeer.class)
                .getLast()
                .message()
                .streamReplies()
                .getFirst();
        assertThat(reply.known()).isTrue();
        assertThat(reply.softwareVersion()).isEqualTo(versionOf(request));
        assertThat(reply.recentVersions()).containsExactly("v1", "v2");
    }

    @Test
    void should_forget_streams_after_the_retention_and_above_the_limit() {
        ForwardingContext context = new ForwardingContext(
                ForwardingSettings.builder().self(fixture.self()).seed(1).build());
        StreamOrigins origins = new StreamOrigins(context);
        StreamOrigins.Origin origin = new StreamOrigins.Origin("tutors", "v1");
        context.beginTick(1);
        for (long stream = 0; stream < 60_000; stream++) {
            origins.record(stream, origin);
        }
        assertThat(origins.find(0)).isEmpty();
        assertThat(origins.find(10_000)).hasValue(origin);
        context.beginTick(2 + StreamOrigins.RETENTION_MILLIS);
        origins.record(60_000, origin);
        assertThat(origins.find(59_999)).isEmpty();
    }
}
