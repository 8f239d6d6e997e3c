package org.fuchsiatrail.wire.forwarding;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.wire.SteadyClock;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.fuchsiatrail.wire.peer.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against inputs that arrive between the start of the listeners and that of the loop, which led to peer updates
 * that nobody could send yet.
 */
class PeerUpdateLostBeforeStartTest {

    private static final EntryVm SELF = vm("vm-1", 1);

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final RouterMetrics metrics = new RouterMetrics();
    private final Queue<String> received = new ConcurrentLinkedQueue<>();
    private final List<List<ForwardingInput>> ticks = new ArrayList<>();
    private PeerTransport own;
    private PeerTransport peer;
    private EntryVm peerVm;

    private static EntryVm vm(String id, int port) {
        return new EntryVm(new EntryVmId(id), new FailureDomain("lima-a"), "127.0.0.1:" + port, false);
    }

    @BeforeEach
    void startTransports() throws Exception {
        try (ServerSocket reserved = new ServerSocket(0)) {
            peerVm = vm("vm-2", reserved.getLocalPort());
        }
        int peerPort =
                Integer.parseInt(peerVm.address().substring(peerVm.address().indexOf(':') + 1));
        peer = transport(peerVm, peerPort);
        own = transport(SELF, 0);
    }

    private PeerTransport transport(EntryVm vm, int port) {
        return new PeerTransport(
                group,
                vm.id(),
                new InetSocketAddress("127.0.0.1", port),
                "secret",
                (from, message) -> received.add(from.value()),
                SteadyClock.ofThisMachine());
    }

    @AfterEach
    void stop() {
        own.close();
        peer.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void should_handle_inputs_that_arrive_before_the_start_in_the_first_tick() throws Exception {
        EventLoop eventLoop = (EventLoop) group.next();
        ForwardingLoop loop = new ForwardingLoop(new ForwardingDependencies(
                eventLoop,
                new AnsweringCore(),
                null,
                null,
                null,
                null,
                metrics,
                SteadyClock.ofThisMachine(),
                java.time.Clock.systemUTC()::millis,
                () -> {},
                MemoryBudget.unlimited()));
        PeerMessage.ForwardingNews update =
                PeerMessage.ForwardingNews.builder(peerVm, 1).build();

        loop.stop();
        eventLoop
                .submit(() -> {
                    loop.receivePeerMessage(peerVm.id(), update);
                    loop.start(own);
                })
                .sync();

        for (int poll = 0; poll < 200 && received.isEmpty(); poll++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(ticks.getFirst())
                .containsExactly(
                        new ForwardingInput.StopRequested(),
                        new ForwardingInput.PeerMessageReceived(peerVm.id(), update));
        assertThat(received).containsExactly("vm-1");
        assertThat(metrics.asPrometheus()).doesNotContain("outputs_failed");
    }

    /** Sends one update to the peer for each message that it gets from it. */
    private final class AnsweringCore implements ForwardingCore {

        @Override
        public List<ForwardingOutput> tick(long nowMillis, List<ForwardingInput> inputs) {
            ticks.add(inputs);
            return inputs.stream()
                    .filter(input -> input instanceof ForwardingInput.PeerMessageReceived)
                    .<ForwardingOutput>map(input -> new ForwardingOutput.SendToPeer(
                            peerVm.id(),
                            peerVm.address(),
                            PeerMessage.ForwardingNews.builder(SELF, 1).build()))
                    .toList();
        }

        @Override
        public long nextDueMillis() {
            return Long.MAX_VALUE;
        }

        @Override
        public boolean ready() {
            return false;
        }

        @Override
        public Optional<RoutingTable> routing() {
            return Optional.empty();
        }

        @Override
        public boolean stopping() {
            return false;
        }
    }
}
