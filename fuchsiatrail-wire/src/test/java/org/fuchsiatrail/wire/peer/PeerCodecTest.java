package org.fuchsiatrail.wire.peer;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.fuchsiatrail.CacheRun;
import org.fuchsiatrail.ClaimEnd;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
                        List.of(new PeerMessage.Suspicion("f", List.of("engine-1#3"))),
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
    void should_read_what_it_wrote(PeerMessage message) throws MalformedPeerMessageException {
        assertThat(PeerCodec.read(PeerCodec.write(message))).isEqualTo(message);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void should_refuse_every_truncated_message(PeerMessage message) {
        byte[] whole = PeerCodec.write(message);
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThatThrownBy(() -> PeerCodec.read(part)).isInstanceOf(MalformedPeerMessageException.class);
        }
    }

    @Property(tries = 500, seed = "1")
    void should_refuse_or_read_any_bytes_without_failing_otherwise(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            assertThat(PeerCodec.read(bytes)).isNotNull();
        } catch (MalformedPeerMessageException e) {
            assertThat(e).hasMessageContaining("frame");
        }
    }

    @Property(tries = 500, seed = "2")
    void should_refuse_or_read_damaged_messages(@ForAll int place, @ForAll byte value) {
        byte[] bytes = PeerCodec.write(new PeerMessage.ReportCache(
                ENGINE, 3, List.of(new CacheRun(1, new long[] {1, 2}, new long[] {3}))));
        bytes[Math.floorMod(place, bytes.length)] = value;
        try {
            assertThat(PeerCodec.read(bytes)).isNotNull();
        } catch (MalformedPeerMessageException e) {
            assertThat(e).hasMessageContaining("frame");
        }
    }

    @Property(tries = 100, seed = "3")
    void should_keep_the_bytes_of_an_answer(@ForAll byte[] body) throws MalformedPeerMessageException {
        ClaimEnd end = new ClaimEnd("c", "k", ClaimEnd.Kind.ANSWERED, 200, "text/plain", body);
        PeerMessage.TellEnd read = (PeerMessage.TellEnd) PeerCodec.read(PeerCodec.write(new PeerMessage.TellEnd(end)));
        assertThat(read.end().body()).isEqualTo(body);
    }
}
