package org.fuchsiatrail.wire.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.wire.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a connection between routers that goes silent without an end and is written to for good. */
class SilentPeerConnectionTest {

    private static final EntryVm SELF =
            new EntryVm(new EntryVmId("vm-1"), new FailureDomain("d"), "127.0.0.1:1", false);
    private static final EntryVmId PEER = new EntryVmId("vm-2");
    private static final long CONTACT_MILLIS = 1_200;
    private static final long HEARTBEAT_MILLIS = 100;
    /** The frames of the accepting side in a handshake: a challenge and a welcome. */
    private static final int HANDSHAKE_BYTES = 4 + 17 + 4 + 32;

    private final SteadyClock clock = SteadyClock.ofThisMachine();
    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private final AtomicLong crashes = new AtomicLong();
    private PeerTransport own;
    private PeerTransport peer;
    private PathWithSilence path;

    @BeforeEach
    void start() throws IOException {
        own = transport(SELF.id(), new LinkedBlockingQueue<>());
        peer = transport(PEER, received);
        path = new PathWithSilence(peer.port());
    }

    @AfterEach
    void stop() throws IOException {
        own.close();
        peer.close();
        path.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private PeerTransport transport(EntryVmId id, BlockingQueue<PeerMessage> messages) {
        return new PeerTransport(
                group,
                id,
                new InetSocketAddress("127.0.0.1", 0),
                "secret",
                (from, message) -> messages.add(message),
                clock,
                Integer.MAX_VALUE,
                new LivenessTimeouts(CONTACT_MILLIS));
    }

    private PeerMessage crash() {
        return PeerMessage.ForwardingNews.builder(SELF, 1)
                .crashes(List.of(
                        PeerMessage.SeenCrash.ofRequest(crashes.incrementAndGet(), new UpstreamId("engine-1#1"))))
                .build();
    }

    private PeerMessage heartbeat() {
        return PeerMessage.ForwardingNews.builder(SELF, 1).build();
    }

    /** Tells a crash, then sends heartbeats until the peer hears of it; returns how long that took. */
    private long millisUntilCrashIsHeard() throws InterruptedException {
        own.send(PEER, path.address(), crash());
        return millisUntilHeard(crashes.get());
    }

    /** Sends heartbeats until the peer has heard of all crashes from this one on; returns how long that took. */
    private long millisUntilHeard(long firstFingerprint) throws InterruptedException {
        Set<Long> missing = LongStream.rangeClosed(firstFingerprint, crashes.get())
                .boxed()
                .collect(Collectors.toCollection(HashSet::new));
        long startMillis = clock.nowMillis();
        while (clock.nowMillis() - startMillis < 5 * CONTACT_MILLIS) {
            PeerMessage message = received.poll(HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
            if (message instanceof PeerMessage.ForwardingNews update) {
                update.crashes().forEach(crash -> missing.remove(crash.fingerprint()));
            } else {
                own.send(PEER, path.address(), heartbeat());
            }
            if (missing.isEmpty()) {
                return clock.nowMillis() - startMillis;
            }
        }
        return Long.MAX_VALUE;
    }

    private void sendHeartbeats(long millis) throws InterruptedException {
        for (long sentMillis = 0; sentMillis < millis; sentMillis += HEARTBEAT_MILLIS) {
            own.send(PEER, path.address(), heartbeat());
            TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
        }
    }

    private static boolean within(long millis, BooleanSupplier condition) throws InterruptedException {
        for (long waitedMillis = 0; waitedMillis < millis && !condition.getAsBoolean(); waitedMillis += 20) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return condition.getAsBoolean();
    }

    @ParameterizedTest
    @EnumSource(PathWithSilence.Direction.class)
    void should_tell_within_the_contact_time_what_was_sent_into_the_silence(PathWithSilence.Direction direction)
            throws InterruptedException {
        assertThat(millisUntilCrashIsHeard()).isLessThan(CONTACT_MILLIS);
        path.silenceOpenConnections(direction);
        assertThat(millisUntilCrashIsHeard()).isLessThan(CONTACT_MILLIS);
        assertThat(within(CONTACT_MILLIS, () -> own.silentConnections() == 1)).isTrue();
    }

    @Test
    void should_tell_all_that_was_sent_before_a_second_silence() throws InterruptedException {
        millisUntilCrashIsHeard();
        int connections = path.connections();
        for (int silence = 0; silence < 2; silence++) {
            path.silenceOpenConnections(PathWithSilence.Direction.BOTH);
            for (int crash = 0; crash < 3; crash++) {
                own.send(PEER, path.address(), crash());
            }
            long last = crashes.get();
            assertThat(millisUntilHeard(last - 2)).isLessThan(CONTACT_MILLIS);
            assertThat(millisUntilCrashIsHeard()).isLessThan(CONTACT_MILLIS);
        }
        assertThat(path.connections()).isEqualTo(connections + 2);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 21, HANDSHAKE_BYTES})
    void should_connect_again_when_the_first_connection_goes_silent_in_or_after_its_handshake(int bytes)
            throws InterruptedException {
        path.silenceNewConnectionsAfter(bytes);
        own.send(PEER, path.address(), crash());
        assertThat(within(CONTACT_MILLIS, () -> path.connections() == 1)).isTrue();
        path.silenceNewConnectionsAfter(Integer.MAX_VALUE);
        assertThat(millisUntilHeard(1)).isLessThan(CONTACT_MILLIS);
    }

    @Test
    void should_keep_a_connection_on_which_the_peer_answers() throws InterruptedException {
        millisUntilCrashIsHeard();
        int connections = path.connections();
        sendHeartbeats(3 * CONTACT_MILLIS);
        assertThat(path.connections()).isEqualTo(connections);
        assertThat(own.silentConnections()).isZero();
        assertThat(peer.acceptedConnections()).isEqualTo(1);
    }

    /** An older build takes all messages and acknowledges none. */
    @Test
    void should_keep_the_connection_to_a_peer_of_an_older_build() throws Exception {
        try (SlowPeer older = new SlowPeer("secret")) {
            own.send(SlowPeer.ID, older.address(), heartbeat());
            assertThat(older.connection().isActive()).isTrue();
            for (int number = 0; number < 3 * CONTACT_MILLIS / HEARTBEAT_MILLIS; number++) {
                own.send(SlowPeer.ID, older.address(), heartbeat());
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
            }
            assertThat(older.connectionWithin(100)).isNull();
            assertThat(own.silentConnections()).isZero();
        }
    }

    @Test
    void should_close_the_accepted_side_of_a_connection_that_its_peer_has_given_up() throws InterruptedException {
        millisUntilCrashIsHeard();
        path.silenceOpenConnections(PathWithSilence.Direction.BOTH);
        assertThat(millisUntilCrashIsHeard()).isLessThan(CONTACT_MILLIS);
        assertThat(peer.acceptedConnections()).isEqualTo(2);
        sendHeartbeats(2 * CONTACT_MILLIS);
        assertThat(peer.acceptedConnections()).isEqualTo(1);
    }

    @Test
    void should_send_a_probe_only_where_something_was_sent_since_the_last_one() throws InterruptedException {
        millisUntilCrashIsHeard();
        TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS);
        long sentBytes = own.sentBytes();
        TimeUnit.MILLISECONDS.sleep(2 * CONTACT_MILLIS);
        assertThat(own.sentBytes()).isEqualTo(sentBytes);
    }
}
