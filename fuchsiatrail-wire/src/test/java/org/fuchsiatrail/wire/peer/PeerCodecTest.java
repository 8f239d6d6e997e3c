package org.fuchsiatrail.wire.peer;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.fuchsiatrail.CacheRun;
import org.fuchsiatrail.ClaimOutcome;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against messages that change on the way between two routers, and against frames (truncated, damaged or random
 * bytes) that cause any exception other than {@link MalformedPeerMessageException}, which the transport handles.
 */
class PeerCodecTest {

    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final EntryVm VM = new EntryVm(new EntryVmId("vm-1"), new FailureDomain("d"), "10.0.0.1:1", false);

    static Stream<PeerMessage> messages() {
        LoadReport load =
                new LoadReport(ENGINE, 3, 100, 2, 64, 8_000, List.of(new ModelVersion("tutor", "v1")), true, 77);
        LedgerClaim claim = new LedgerClaim("c", "k", "d", VM.id(), 9);
        return Stream.of(
                new PeerMessage.Heartbeat(
                        VM,
                        1,
                        2,
                        3,
                        true,
                        List.of(load),
                        List.of(new PeerMessage.AssignedTokens(ENGINE, 5)),
                        List.of("engine-2"),
                        List.of("engine-3"),
                        List.of(new PeerMessage.Suspicion("f", List.of("engine-1#3"), List.of(40L))),
                        List.of(new PeerMessage.RetryReservation(7, 8))),
                new PeerMessage.AskConfiguration(4),
                new PeerMessage.AskClaim(claim, "trace"),
                new PeerMessage.TellClaim("c", new ClaimVerdict.Granted()),
                new PeerMessage.TellClaim("c", new ClaimVerdict.Undecided("why")),
                new PeerMessage.EndRecorded("c"),
                new PeerMessage.TellDirectory(1, List.of(new PeerMessage.PrefixMatch(ENGINE, 3, 8))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void should_decode_what_it_encoded(PeerMessage message) throws MalformedPeerMessageException {
        assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
    }

    private static PeerMessage.ForwardingNews peerUpdate() {
        PeerMessage.UpstreamWork work = new PeerMessage.UpstreamWork(ENGINE, 2, 1, 9_000, 600, 3_000);
        return PeerMessage.ForwardingNews.builder(VM, 7)
                .items(List.of(new PeerMessage.RelayedItem("key", 5, false, new byte[] {1, 2})), 6)
                .work(List.of(work))
                .weights(List.of(new PeerMessage.SeenWeights(ENGINE, "tutor", 3)))
                .switching(List.of(new PeerMessage.Switching(ENGINE, 900)))
                .crashes(List.of(new PeerMessage.SeenCrash(44, ENGINE, new long[] {7, -8})))
                .clearedCrashes(List.of(PeerMessage.SeenCrash.ofRequest(45, ENGINE)))
                .clearedParts(List.of(9L, -10L))
                .limits(List.of(new PeerMessage.NamedLimit(ENGINE, true, 1.7, 40)))
                .leaving(List.of(ENGINE))
                .pauses(List.of(new PeerMessage.SeenPause(ENGINE, 2_900)))
                .startedStreams(List.of(new PeerMessage.StartedStreams("tutors", "v1", new long[] {5, -6})))
                .openStreamQueries(List.of(new PeerMessage.OpenStreamQuery("tutors", 3)))
                .openStreamReplies(List.of(new PeerMessage.OpenStreamReply(
                        "tutors", 3, List.of(new PeerMessage.StartedStreams("tutors", "v1", new long[] {8})))))
                .streamQueries(List.of(new PeerMessage.StreamQuery(-7, List.of("tutors"))))
                .streamReplies(List.of(new PeerMessage.StreamReply(-7, true, "tutors", "v1", List.of("v1", "v2"), 400)))
                .reads(List.of(new PeerMessage.ReadParts(ENGINE, new long[] {1, 2}, new long[] {300, 400})))
                .domains(List.of(new PeerMessage.DomainWork(VM.failureDomain(), List.of(work))))
                .caches(List.of(
                        new PeerMessage.CacheChanges(ENGINE, true, new long[] {8}, new long[] {0}, "vm-1/5", 3, true)))
                .build();
    }

    @Test
    void should_decode_peer_updates_of_forwarding_routers_as_they_were_encoded() throws MalformedPeerMessageException {
        assertThat(PeerCodec.decode(PeerCodec.encode(peerUpdate())))
                .usingRecursiveComparison()
                .isEqualTo(peerUpdate());
        PeerMessage empty = PeerMessage.ForwardingNews.builder(VM, 7).build();
        assertThat(PeerCodec.decode(PeerCodec.encode(empty))).isEqualTo(empty);
    }

    @Test
    void should_encode_the_work_of_an_upstream_in_few_bytes() {
        List<PeerMessage.UpstreamWork> work =
                Collections.nCopies(50, new PeerMessage.UpstreamWork(ENGINE, 2, 1, 9_000, 600, 3_000));
        PeerMessage message =
                PeerMessage.ForwardingNews.builder(VM, 7).work(work).build();
        assertThat(PeerCodec.encode(message)).hasSizeLessThan(50 * 24 + 150);
    }

    @Test
    void should_encode_a_started_stream_in_nine_bytes() {
        PeerMessage.StartedStreams started = new PeerMessage.StartedStreams(
                "tutors", "v1", new SplittableRandom(1).longs(50).toArray());
        PeerMessage message = PeerMessage.ForwardingNews.builder(VM, 7)
                .startedStreams(List.of(started))
                .build();
        assertThat(PeerCodec.encode(message)).hasSizeLessThan(50 * 9 + 200);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void should_refuse_every_truncated_message(PeerMessage message) {
        byte[] encoded = PeerCodec.encode(message);
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);
            assertThatThrownBy(() -> PeerCodec.decode(truncated)).isInstanceOf(MalformedPeerMessageException.class);
        }
    }

    @Property(tries = 500, seed = "1")
    void should_decode_or_refuse_random_bytes(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            assertThat(PeerCodec.decode(bytes)).isNotNull();
        } catch (MalformedPeerMessageException e) {
            assertThat(e).hasMessageContaining("frame");
        }
    }

    @Property(tries = 500, seed = "2")
    void should_decode_or_refuse_damaged_messages(@ForAll int position, @ForAll byte value) {
        byte[] bytes = PeerCodec.encode(new PeerMessage.ReportCache(
                ENGINE, 3, List.of(new CacheRun(1, new long[] {1, 2}, new long[] {3}))));
        bytes[Math.floorMod(position, bytes.length)] = value;
        try {
            assertThat(PeerCodec.decode(bytes)).isNotNull();
        } catch (MalformedPeerMessageException e) {
            assertThat(e).hasMessageContaining("frame");
        }
    }

    @Property(tries = 100, seed = "3")
    void should_preserve_the_body_of_a_recorded_response(@ForAll byte[] body) throws MalformedPeerMessageException {
        ClaimOutcome end = new ClaimOutcome("c", "k", ClaimOutcome.Kind.ANSWERED, 200, "text/plain", body);
        PeerMessage.TellEnd decoded =
                (PeerMessage.TellEnd) PeerCodec.decode(PeerCodec.encode(new PeerMessage.TellEnd(end)));
        assertThat(decoded.end().body()).isEqualTo(body);
    }
}
