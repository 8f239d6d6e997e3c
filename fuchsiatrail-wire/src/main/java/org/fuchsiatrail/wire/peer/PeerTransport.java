package org.fuchsiatrail.wire.peer;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.ScheduledFuture;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.wire.http.KeepAliveProbes;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * Sends messages to other routers and receives theirs.
 *
 * <p>Each router keeps one connection to every peer that it sends to; messages in the other direction use a connection
 * of the peer's own. While a connection takes nothing, because it is being set up or its link is full, all updates for
 * the peer are merged into one, and other messages wait in a queue of bounded size; the core sends again what is
 * dropped from that.
 */
public final class PeerTransport implements AutoCloseable {

    static final int MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;
    static final int LENGTH_FIELD_BYTES = 4;

    /** The largest frame before the handshake is complete, which is enough for a router's name. */
    static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 1_024;

    /** The time in which a peer has to complete the handshake of its connection, in milliseconds. */
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;

    /** The default number of connections whose handshake may be incomplete at once: more than a fleet has routers. */
    private static final int DEFAULT_HANDSHAKES = 512;

    /** The part of a process's descriptors that connections with an incomplete handshake may take. */
    private static final int HANDSHAKE_DESCRIPTOR_PART = 8;

    /** The number of connections that may wait to be accepted. */
    private static final int BACKLOG = 1_024;

    /** What the system may queue of each connection that is not read. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    /** Interval at which updates for peers that cannot be reached any more are discarded, in milliseconds. */
    private static final long EXPIRY_INTERVAL_MILLIS = 10_000;

    private final Handshake handshake;
    private final PeerListener listener;
    private final Channel server;
    private final Map<String, OutboundConnection> outboundConnections = new ConcurrentHashMap<>();
    private final Set<EntryVmId> blockedPeers = ConcurrentHashMap.newKeySet();
    /** The accepted connections whose handshake is not complete, the oldest first. */
    private final Set<Channel> handshakes = new LinkedHashSet<>();

    private final int maximumHandshakes;

    private final PeerTraffic traffic;
    private final UpdateEncoder encoder = new UpdateEncoder();
    private final LivenessTimeouts timeouts;
    private final ScheduledFuture<?> livenessChecks;
    /** The accepted connections whose handshake is complete. */
    private final Set<InboundHandler> inboundConnections = ConcurrentHashMap.newKeySet();

    private final OutboundConnection.Dependencies connectionDependencies;
    private volatile long nextExpiryAtMillis;

    /**
     * Creates a transport for a process whose descriptors do not matter, with the usual contact time.
     *
     * @param group the event loops that serve the connections
     * @param self this router's id, which it sends in the handshake
     * @param address the address to listen on
     * @param secret the secret that all routers share
     * @param listener receives the messages of peers
     * @param clock the clock by which waiting messages are corrected and measured
     */
    public PeerTransport(
            EventLoopGroup group,
            EntryVmId self,
            InetSocketAddress address,
            String secret,
            PeerListener listener,
            Clock clock) {
        this(group, self, address, secret, listener, clock, Integer.MAX_VALUE, LivenessTimeouts.DEFAULTS);
    }

    /**
     * Creates a transport and starts to listen for connections of peers.
     *
     * @param group the event loops that serve the connections
     * @param self this router's id, which it sends in the handshake
     * @param address the address to listen on
     * @param secret the secret that all routers share
     * @param listener receives the messages of peers
     * @param clock the clock by which waiting messages are corrected and measured
     * @param descriptors the descriptors that the process may have open; an eighth of them, at most 512, may be taken
     *     by connections whose handshake is not complete, and the oldest of more is closed
     * @param timeouts when a connection counts as silent
     */
    public PeerTransport(
            EventLoopGroup group,
            EntryVmId self,
            InetSocketAddress address,
            String secret,
            PeerListener listener,
            Clock clock,
            int descriptors,
            LivenessTimeouts timeouts) {
        this.maximumHandshakes = Math.clamp(descriptors / HANDSHAKE_DESCRIPTOR_PART, 1, DEFAULT_HANDSHAKES);
        this.handshake = new Handshake(secret);
        this.listener = listener;
        this.traffic = new PeerTraffic(clock);
        this.timeouts = timeouts;
        this.connectionDependencies =
                new OutboundConnection.Dependencies(group, self, handshake, encoder, traffic, timeouts);
        this.server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(KeepAliveProbes.IDLE_OPTION, timeouts.keepAliveIdleSeconds())
                .childOption(KeepAliveProbes.INTERVAL_OPTION, timeouts.keepAliveIntervalSeconds())
                .childOption(KeepAliveProbes.PROBE_COUNT_OPTION, KeepAliveProbes.PROBE_COUNT)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PeerFrameDecoder decoder = addFraming(channel, MAXIMUM_HANDSHAKE_FRAME_BYTES);
                        channel.pipeline().addLast(new InboundHandler(decoder));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        this.livenessChecks = group.next()
                .scheduleWithFixedDelay(
                        this::checkLiveness,
                        timeouts.checkIntervalMillis(),
                        timeouts.checkIntervalMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void checkLiveness() {
        try {
            long nowMillis = traffic.nowMillis();
            outboundConnections.values().forEach(connection -> connection.checkLiveness(nowMillis));
            inboundConnections.forEach(InboundHandler::checkLiveness);
        } catch (RuntimeException e) {
            // An exception would end all further checks.
            LogLines.error("peers", "Connections could not be checked.", e);
        }
    }

    /** Adds the handlers that divide a connection into frames of at most this size. */
    static PeerFrameDecoder addFraming(SocketChannel channel, int maximumFrameBytes) {
        PeerFrameDecoder decoder = new PeerFrameDecoder(maximumFrameBytes);
        channel.pipeline().addLast(decoder).addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        return decoder;
    }

    /**
     * Sends a message, at once or when the connection takes it. The message is dropped if the address is invalid or too
     * much waits.
     *
     * @param to the peer
     * @param address the peer's IP address and port
     * @param message the message
     */
    public void send(EntryVmId to, String address, PeerMessage message) {
        if (blockedPeers.contains(to) || !Addresses.isValid(address)) {
            traffic.recordDropped(1);
            return;
        }
        long nowMillis = traffic.nowMillis();
        if (nowMillis >= nextExpiryAtMillis) {
            nextExpiryAtMillis = nowMillis + EXPIRY_INTERVAL_MILLIS;
            outboundConnections.values().forEach(connection -> connection.discardExpired(nowMillis));
        }
        byte[] bytes = encoder.encode(message);
        outboundConnections
                .computeIfAbsent(address, key -> new OutboundConnection(connectionDependencies, to, key))
                .send(message, bytes, nowMillis);
    }

    /** Returns the port on which peers connect. */
    int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Blocks or unblocks messages to and from a peer, to simulate a network partition in tests.
     *
     * @param peer the peer
     * @param blocked whether messages in both directions are dropped
     */
    public void setBlocked(EntryVmId peer, boolean blocked) {
        if (blocked) {
            blockedPeers.add(peer);
        } else {
            blockedPeers.remove(peer);
        }
    }

    /**
     * Returns how many connections were closed because of a failed handshake (wrong secret or protocol version) or a
     * malformed message.
     *
     * @return a count since the start
     */
    public long refusedConnections() {
        return traffic.refused();
    }

    /**
     * Returns how many messages could not be sent and were dropped.
     *
     * @return a count since the start
     */
    public long droppedMessages() {
        return traffic.dropped();
    }

    /**
     * Returns how many parts of updates were dropped because too many waited for a peer.
     *
     * @return a count since the start
     */
    public long droppedParts() {
        return traffic.droppedParts();
    }

    /**
     * Returns how many updates were merged into one that waited for the same peer.
     *
     * @return a count since the start
     */
    public long mergedUpdates() {
        return traffic.merged();
    }

    /**
     * Returns how many connections to peers were given up because the peer acknowledged nothing any more.
     *
     * @return a count since the start
     */
    public long silentConnections() {
        return traffic.silent();
    }

    /**
     * Returns how many connections of peers are open, not counting those whose handshake is not complete.
     *
     * @return the current number
     */
    public int acceptedConnections() {
        return inboundConnections.size();
    }

    /**
     * Returns how many bytes were passed to connections, including length prefixes.
     *
     * @return a count since the start
     */
    public long sentBytes() {
        return traffic.sentBytes();
    }

    /**
     * Returns how many bytes wait for peers now; an update that was merged counts as the largest of its parts.
     *
     * @return a number of bytes
     */
    public long waitingBytes() {
        return outboundConnections.values().stream()
                .mapToLong(OutboundConnection::waitingBytes)
                .sum();
    }

    /**
     * Returns the longest time that bytes which wait now have waited for a peer.
     *
     * @return a time in milliseconds
     */
    public long waitingMillis() {
        long nowMillis = traffic.nowMillis();
        return outboundConnections.values().stream()
                .mapToLong(connection -> connection.waitingMillis(nowMillis))
                .max()
                .orElse(0);
    }

    /**
     * Returns the longest time that any bytes have waited for a peer since the start.
     *
     * @return a time in milliseconds
     */
    public long longestWaitMillis() {
        return traffic.longestWaitMillis();
    }

    /**
     * Registers the metrics of the traffic with peers.
     *
     * @param metrics the metrics of the router
     */
    public void registerMetrics(RouterMetrics metrics) {
        metrics.gauge("peers.refused-connections", this::refusedConnections);
        metrics.gauge("peers.silent-connections", this::silentConnections);
        metrics.gauge("peers.accepted-connections", this::acceptedConnections);
        metrics.gauge("peers.sent-bytes", this::sentBytes);
        metrics.gauge("peers.dropped-messages", this::droppedMessages);
        metrics.gauge("peers.dropped-parts", this::droppedParts);
        metrics.gauge("peers.merged-updates", this::mergedUpdates);
        metrics.gauge("peers.waiting-bytes", this::waitingBytes);
        metrics.gauge("peers.waiting-millis", this::waitingMillis);
        metrics.gauge("peers.longest-wait-millis", this::longestWaitMillis);
    }

    @Override
    public void close() {
        livenessChecks.cancel(false);
        server.close().syncUninterruptibly();
        outboundConnections.values().forEach(OutboundConnection::close);
    }

    /** Counts a connection whose handshake begins; anyone can open such connections, and do nothing more. */
    private void beginHandshake(Channel channel) {
        Channel oldest = null;
        synchronized (handshakes) {
            handshakes.add(channel);
            if (handshakes.size() > maximumHandshakes) {
                oldest = handshakes.iterator().next();
                handshakes.remove(oldest);
            }
        }
        if (oldest != null) {
            traffic.recordRefused();
            oldest.close();
        }
    }

    private void refuse(ChannelHandlerContext context) {
        traffic.recordRefused();
        context.close();
    }

    /** The accepting side of a connection: performs the handshake, then receives messages and acknowledges probes. */
    private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final PeerFrameDecoder decoder;
        private byte[] challenge;
        private EntryVmId peer;
        private ScheduledFuture<?> handshakeTimeout;
        private volatile Channel channel;
        private volatile boolean probed;
        /** Whether the peer has set up another connection since, which it does when it has given this one up. */
        private volatile boolean replaced;
        /** The checks since anything was received. */
        private volatile int idleChecks;

        InboundHandler(PeerFrameDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            beginHandshake(context.channel());
            handshakeTimeout =
                    context.executor().schedule(() -> refuse(context), HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            challenge = handshake.challenge(handshake.acknowledgingNonce());
            context.writeAndFlush(Unpooled.wrappedBuffer(challenge));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            endHandshake(context.channel());
            inboundConnections.remove(this);
        }

        /** Closes the connection once the peer must have given it up; otherwise it would stay open for good. */
        private void checkLiveness() {
            idleChecks++;
            boolean givenUp = replaced && idleChecks > LivenessTimeouts.REPLACED_CHECKS
                    || probed && idleChecks > 2 * LivenessTimeouts.IDLE_CHECKS;
            if (givenUp) {
                channel.close();
            }
        }

        private void endHandshake(Channel channel) {
            handshakeTimeout.cancel(false);
            synchronized (handshakes) {
                handshakes.remove(channel);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            if (peer == null) {
                handleHello(context, bytes);
                return;
            }
            if (blockedPeers.contains(peer)) {
                return;
            }
            idleChecks = 0;
            if (bytes.length == 0) {
                probed = true;
                traffic.recordSent(LENGTH_FIELD_BYTES);
                context.writeAndFlush(Unpooled.EMPTY_BUFFER);
                return;
            }
            try {
                listener.receive(peer, PeerCodec.decode(bytes));
            } catch (MalformedPeerMessageException e) {
                refuse(context);
            }
        }

        private void handleHello(ChannelHandlerContext context, byte[] hello) {
            String name = handshake.verifyHello(challenge, hello);
            if (name == null || name.isBlank()) {
                refuse(context);
                return;
            }
            peer = new EntryVmId(name);
            endHandshake(context.channel());
            channel = context.channel();
            for (InboundHandler other : inboundConnections) {
                other.replaced |= other.peer.equals(peer);
            }
            inboundConnections.add(this);
            decoder.setMaximumFrameBytes(MAXIMUM_FRAME_BYTES);
            context.writeAndFlush(Unpooled.wrappedBuffer(handshake.welcome(hello)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException) {
                refuse(context);
            } else {
                context.close();
            }
        }
    }
}
