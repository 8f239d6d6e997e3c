package org.fuchsiatrail.wire.peer;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against bytes that wait for a peer unnoticed or without bound, behind a full link or while it is away. */
class PeerWaitingTest {

    private static final EntryVm SELF =
            new EntryVm(new EntryVmId("vm-1"), new FailureDomain("d"), "127.0.0.1:1", false);
    private static final UpstreamId ENGINE = new UpstreamId("engine-1#1");
    private static final int UPDATES = 2_000;

    /** The most bytes that may wait in the process for one peer. */
    private static final long MAXIMUM_WAITING_BYTES = 32 * 1024;

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final SlowPeer peer = new SlowPeer("secret");
    private final PeerTransport transport = new PeerTransport(
            group, SELF.id(), new InetSocketAddress("127.0.0.1", 0), "secret", (from, message) -> {}, nowMillis::get);

    @BeforeEach
    void directLogToBuffer() {
        LogLines.install("info", new PrintStream(log, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void stop() {
        LogLines.install("info");
        transport.close();
        peer.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Sends on the event loop, so that all that the connection takes is written when this returns. */
    private void send(PeerMessage message) {
        group.submit(() -> transport.send(SlowPeer.ID, peer.address(), message)).syncUninterruptibly();
    }

    /** Returns an update of about 10 KB. */
    private static PeerMessage heartbeat(long revision) {
        return PeerMessage.ForwardingNews.builder(SELF, revision)
                .work(IntStream.range(0, 400)
                        .mapToObj(upstream ->
                                new PeerMessage.UpstreamWork(new UpstreamId("engine-" + upstream), 1, 0, 1_000, 0, 0))
                        .toList())
                .build();
    }

    private static PeerMessage crash(long revision) {
        return PeerMessage.ForwardingNews.builder(SELF, revision)
                .crashes(List.of(PeerMessage.SeenCrash.ofRequest(7, ENGINE)))
                .build();
    }

    private static PeerMessage query(long stream) {
        return PeerMessage.ForwardingNews.builder(SELF, 1)
                .streamQueries(List.of(new PeerMessage.StreamQuery(stream, List.of("tutor"))))
                .build();
    }

    private static boolean tellsCrash(PeerMessage message) {
        return message instanceof PeerMessage.ForwardingNews update
                && !update.crashes().isEmpty();
    }

    private static boolean isQuery(PeerMessage message) {
        return message instanceof PeerMessage.ForwardingNews update
                && !update.streamQueries().isEmpty();
    }

    private Channel connect() throws InterruptedException {
        send(PeerMessage.ForwardingNews.builder(SELF, 1).build());
        Channel connection = peer.connection();
        assertThat(peer.next(message -> true)).isNotNull();
        return connection;
    }

    private Channel fillConnection() throws InterruptedException {
        Channel connection = connect();
        connection.config().setAutoRead(false);
        PeerMessage heartbeat = heartbeat(2);
        for (int number = 0; number < UPDATES; number++) {
            send(heartbeat);
        }
        return connection;
    }

    @Test
    void should_bound_the_bytes_that_wait_for_a_peer_that_does_not_read() throws InterruptedException {
        fillConnection();
        assertThat(transport.waitingBytes()).isPositive().isLessThanOrEqualTo(MAXIMUM_WAITING_BYTES);
        assertThat(transport.mergedUpdates()).isGreaterThan(UPDATES / 2);
        assertThat(transport.droppedMessages()).isZero();
    }

    @Test
    void should_measure_and_log_how_long_bytes_wait() throws Exception {
        Channel connection = fillConnection();
        nowMillis.addAndGet(400);
        send(heartbeat(3));
        assertThat(transport.waitingMillis()).isEqualTo(400);
        nowMillis.addAndGet(200);
        send(heartbeat(4));
        nowMillis.addAndGet(4_000);
        send(heartbeat(5));
        LogLines.flush();
        List<String> lines = log.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(1);
        JsonNode line = new ObjectMapper().readTree(lines.getFirst());
        assertThat(line.get("part").asText()).isEqualTo("peers");
        assertThat(line.get("message").asText()).isEqualTo("Bytes have waited for a peer.");
        assertThat(line.get("peer").asText()).isEqualTo("vm-2");
        assertThat(line.get("millis").asLong()).isEqualTo(600);
        assertThat(line.get("bytes").asLong()).isPositive();
        send(query(1));
        connection.config().setAutoRead(true);
        assertThat(peer.next(PeerWaitingTest::isQuery)).isNotNull();
        assertThat(peer.next(message -> message instanceof PeerMessage.ForwardingNews update && update.revision() == 5))
                .isNotNull();
        group.submit(() -> {}).syncUninterruptibly();
        assertThat(transport.waitingBytes()).isZero();
        assertThat(transport.waitingMillis()).isZero();
        assertThat(transport.longestWaitMillis()).isEqualTo(4_600);
    }

    @Test
    void should_export_what_waits_as_metrics() throws InterruptedException {
        RouterMetrics metrics = new RouterMetrics();
        transport.registerMetrics(metrics);
        fillConnection();
        nowMillis.addAndGet(300);
        assertThat(metrics.asPrometheus().lines())
                .contains("peers_waiting_millis 300.0", "peers_dropped_messages 0.0", "peers_dropped_parts 0.0")
                .contains("peers_waiting_bytes " + (double) transport.waitingBytes())
                .contains("peers_merged_updates " + (double) transport.mergedUpdates())
                .contains("peers_longest_wait_millis 0.0", "peers_refused_connections 0.0")
                .contains("peers_sent_bytes " + (double) transport.sentBytes());
    }

    @Test
    void should_send_a_query_before_the_update_that_waited_longer() throws InterruptedException {
        Channel connection = fillConnection();
        send(crash(3));
        send(query(1));
        send(query(2));
        connection.config().setAutoRead(true);
        assertThat(peer.next(message -> isQuery(message) || tellsCrash(message)))
                .isEqualTo(query(1));
        assertThat(peer.next(message -> isQuery(message) || tellsCrash(message)))
                .isEqualTo(query(2));
        assertThat(peer.next(PeerWaitingTest::tellsCrash)).isNotNull();
    }

    @Test
    void should_tell_a_peer_that_was_away_one_merged_update() throws InterruptedException {
        connect().close().syncUninterruptibly();
        peer.shutOut();
        for (int number = 2; number < 200; number++) {
            send(number == 50 ? crash(number) : heartbeat(number));
        }
        peer.listen();
        long sentBefore = transport.sentBytes();
        connectAgain();
        assertThat(peer.next(PeerWaitingTest::tellsCrash)).isNotNull();
        assertThat(transport.sentBytes() - sentBefore).isLessThan(MAXIMUM_WAITING_BYTES);
    }

    /** The end of a machine within the handshake stays unnoticed, as no bytes are on their way to it. */
    @Test
    void should_connect_again_to_a_peer_that_never_answered_the_handshake() throws InterruptedException {
        peer.setSilent(true);
        send(crash(1));
        assertThat(peer.leavesConnectionSilent()).isTrue();
        peer.setSilent(false);
        nowMillis.addAndGet(LivenessTimeouts.DEFAULTS.handshakeMillis() - 1);
        send(heartbeat(2));
        assertThat(peer.connectionWithin(200)).isNull();
        nowMillis.addAndGet(1);
        send(heartbeat(3));
        assertThat(peer.connection()).isNotNull();
        assertThat(peer.next(PeerWaitingTest::tellsCrash)).isNotNull();
    }

    /** Sends heartbeats until the peer has accepted a connection; an earlier attempt may still be under way. */
    private void connectAgain() throws InterruptedException {
        Channel connection = null;
        while (connection == null) {
            send(heartbeat(200));
            connection = peer.connectionWithin(100);
        }
    }
}
