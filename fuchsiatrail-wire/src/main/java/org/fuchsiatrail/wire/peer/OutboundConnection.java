package org.fuchsiatrail.wire.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.wire.http.KeepAliveProbes;

/**
 * The connection to the peer at one address; opened on demand, and again after it was closed or went silent. While it
 * takes nothing, messages wait in {@link WaitingMessages}.
 *
 * <p>A probe is an empty frame, and so is its acknowledgement, which tells that all frames before the probe were
 * received. Updates are kept until then, and sent again over the next connection if this one is lost. Peers of older
 * builds acknowledge nothing; their connections are neither probed nor given up.
 */
final class OutboundConnection {

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /**
     * Below the high mark a message is passed to the connection, so that of updates of 16 KB at most 32 KB wait in it;
     * a link of 7 Mbit/s takes them in 40 ms.
     */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(8 * 1024, 16 * 1024);

    /** The most bytes that wait in the kernel, where they cannot be replaced by newer ones any more. */
    private static final int KERNEL_BUFFER_BYTES = 32 * 1024;

    private final Dependencies dependencies;
    private final PeerTraffic traffic;
    private final EntryVmId peer;
    private final String address;
    private final WaitingMessages waiting;
    /** Messages that the connection has taken, but the kernel has not. */
    private final Queue<OutgoingMessage> inFlight = new ArrayDeque<>();

    private long inFlightBytes;
    private Channel channel;
    /** The channel of the latest attempt to connect; events of others are of the past. */
    private Channel attempt;

    private long attemptSinceMillis;
    private boolean draining;

    /** Updates that the kernel has taken and the peer has not acknowledged; empty for a peer of an older build. */
    private final Deque<OutgoingMessage> unacknowledged = new ArrayDeque<>();
    /** How many of these the pending probe covers. */
    private int probedMessages;

    private boolean peerAcknowledges;
    private boolean probePending;
    private boolean sentSinceProbe;
    /** The checks since the last probe was sent. */
    private int checksSinceProbe;
    /** The connections in a row that were given up before they acknowledged anything. */
    private int silentInRow;

    /**
     * What all connections of a router share.
     *
     * @param group the event loops that serve the connections
     * @param self this router's id
     * @param handshake the handshake
     * @param encoder encodes and merges messages
     * @param traffic counts what is sent
     * @param timeouts when a connection counts as silent
     */
    record Dependencies(
            EventLoopGroup group,
            EntryVmId self,
            Handshake handshake,
            UpdateEncoder encoder,
            PeerTraffic traffic,
            LivenessTimeouts timeouts) {}

    OutboundConnection(Dependencies dependencies, EntryVmId peer, String address) {
        this.dependencies = dependencies;
        this.traffic = dependencies.traffic();
        this.peer = peer;
        this.address = address;
        this.waiting = new WaitingMessages(dependencies.encoder(), traffic);
    }

    synchronized void send(PeerMessage message, byte[] bytes, long nowMillis) {
        if (channel != null && !channel.isActive()) {
            disconnected(attempt);
        }
        endLateHandshake(nowMillis);
        OutgoingMessage outgoing = OutgoingMessage.of(message, bytes, nowMillis);
        if (channel != null && channel.isWritable() && waiting.isEmpty()) {
            write(outgoing, nowMillis);
        } else {
            waiting.add(outgoing);
            if (channel != null) {
                drain();
            } else if (attempt == null) {
                connect(nowMillis);
            }
        }
        long waitedMillis = waitingMillis(nowMillis);
        if (waitedMillis > 0) {
            traffic.recordWait(peer.value(), channel != null, waitingBytes(), waitedMillis);
        }
    }

    private void endLateHandshake(long nowMillis) {
        boolean late = nowMillis - attemptSinceMillis >= dependencies.timeouts().handshakeMillis();
        if (channel == null && attempt != null && late) {
            Channel unanswered = attempt;
            disconnected(unanswered);
            unanswered.close();
        }
    }

    /** Checks at a fixed interval whether the peer still receives what is sent, and connects anew if it does not. */
    synchronized void checkLiveness(long nowMillis) {
        if (channel == null) {
            boolean connecting = attempt != null;
            endLateHandshake(nowMillis);
            if (connecting && attempt == null && !waiting.isEmpty()) {
                connect(nowMillis);
            }
            return;
        }
        if (!peerAcknowledges) {
            return;
        }
        checksSinceProbe++;
        if (probePending && checksSinceProbe >= LivenessTimeouts.unansweredChecks(silentInRow)) {
            giveUpSilentConnection(nowMillis);
        } else if (!probePending && (sentSinceProbe || checksSinceProbe >= LivenessTimeouts.IDLE_CHECKS)) {
            sendProbe();
        }
    }

    private void sendProbe() {
        probePending = true;
        sentSinceProbe = false;
        checksSinceProbe = 0;
        probedMessages = unacknowledged.size();
        traffic.recordSent(PeerTransport.LENGTH_FIELD_BYTES);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
    }

    private synchronized void acknowledged(Channel from) {
        if (from != channel || !probePending) {
            return;
        }
        probePending = false;
        for (int message = 0; message < probedMessages; message++) {
            unacknowledged.remove();
        }
        if (checksSinceProbe < LivenessTimeouts.unansweredChecks(0)) {
            silentInRow = 0;
        }
    }

    private void giveUpSilentConnection(long nowMillis) {
        traffic.recordSilent(peer.value(), unacknowledged.size(), checksSinceProbe);
        silentInRow++;
        Channel silent = channel;
        disconnected(silent);
        reset(silent);
        if (!waiting.isEmpty()) {
            connect(nowMillis);
        }
    }

    /** Closes a connection so that the kernel discards what is sent again over the next one. */
    private static void reset(Channel connection) {
        try {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The connection has ended meanwhile, and with it what the kernel held.
        }
        connection.close();
    }

    /** Sends what waits as long as the connection takes it. */
    synchronized void drain() {
        if (draining || channel == null) {
            return;
        }
        draining = true;
        long nowMillis = traffic.nowMillis();
        OutgoingMessage next = channel.isWritable() ? waiting.poll(nowMillis) : null;
        while (next != null) {
            write(next, nowMillis);
            next = channel.isWritable() ? waiting.poll(nowMillis) : null;
        }
        draining = false;
    }

    private void write(OutgoingMessage message, long nowMillis) {
        if (message.bytes().length > PeerTransport.MAXIMUM_FRAME_BYTES) {
            traffic.recordDropped(1);
            return;
        }
        traffic.recordSent(message.bytes().length + PeerTransport.LENGTH_FIELD_BYTES);
        sentSinceProbe = true;
        Channel target = channel;
        ChannelFuture written = target.writeAndFlush(Unpooled.wrappedBuffer(message.bytes()));
        if (written.isSuccess()) {
            taken(message, target, nowMillis);
            return;
        }
        inFlight.add(message);
        inFlightBytes += message.bytes().length;
        written.addListener(done -> written(message, target, done.isSuccess()));
    }

    private synchronized void written(OutgoingMessage message, Channel target, boolean success) {
        inFlight.remove(message);
        inFlightBytes -= message.bytes().length;
        if (success) {
            taken(message, target, traffic.nowMillis());
            return;
        }
        if (target == channel) {
            takeBackUnacknowledged();
        }
        waiting.takeBack(message);
    }

    private void taken(OutgoingMessage message, Channel target, long nowMillis) {
        recordWait(message, nowMillis);
        if (peerAcknowledges && target == channel && message.isPureUpdate()) {
            unacknowledged.add(message);
        }
    }

    private void takeBackUnacknowledged() {
        unacknowledged.forEach(waiting::takeBack);
        unacknowledged.clear();
        probedMessages = 0;
    }

    private void recordWait(OutgoingMessage message, long nowMillis) {
        long waitedMillis = nowMillis - message.sinceMillis();
        if (waitedMillis > 0) {
            traffic.recordWait(peer.value(), true, message.bytes().length, waitedMillis);
        }
    }

    /** Returns the bytes that the kernel has not taken yet. */
    synchronized long waitingBytes() {
        return inFlightBytes + waiting.bytes();
    }

    /** Returns how long the first of these bytes have waited, in milliseconds. */
    synchronized long waitingMillis(long nowMillis) {
        long takenSinceMillis =
                inFlight.isEmpty() ? Long.MAX_VALUE : inFlight.peek().sinceMillis();
        return Math.max(0, nowMillis - Math.min(takenSinceMillis, waiting.sinceMillis()));
    }

    private void connect(long nowMillis) {
        Addresses.HostAndPort target = Addresses.parse(address);
        ChannelFuture connecting = new Bootstrap()
                .group(dependencies.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(KeepAliveProbes.IDLE_OPTION, dependencies.timeouts().keepAliveIdleSeconds())
                .option(KeepAliveProbes.INTERVAL_OPTION, dependencies.timeouts().keepAliveIntervalSeconds())
                .option(KeepAliveProbes.PROBE_COUNT_OPTION, KeepAliveProbes.PROBE_COUNT)
                .option(ChannelOption.SO_SNDBUF, KERNEL_BUFFER_BYTES)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        PeerTransport.addFraming(newChannel, PeerTransport.MAXIMUM_HANDSHAKE_FRAME_BYTES);
                        newChannel.pipeline().addLast(new OutboundHandler());
                    }
                })
                .connect(target.host(), target.port());
        attempt = connecting.channel();
        attemptSinceMillis = nowMillis;
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                disconnected(connecting.channel());
            }
        });
    }

    private synchronized void connected(Channel newChannel, boolean acknowledges) {
        if (newChannel == attempt) {
            channel = newChannel;
            peerAcknowledges = acknowledges;
            drain();
            if (acknowledges) {
                sendProbe();
            }
        }
    }

    private synchronized void disconnected(Channel closed) {
        if (closed == attempt) {
            attempt = null;
            channel = null;
            takeBackUnacknowledged();
            waiting.discardQueue();
        }
    }

    /** Discards what has waited too long for a peer out of reach. */
    synchronized void discardExpired(long nowMillis) {
        if (channel == null) {
            waiting.discardExpired(nowMillis);
        }
    }

    synchronized void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** The connecting side of a connection: performs the handshake; then receives acknowledgements only. */
    private final class OutboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private byte[] nonce;
        private boolean peerMarked;
        private boolean welcomed;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            if (welcomed && !frame.isReadable()) {
                acknowledged(context.channel());
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(frame);
            Handshake handshake = dependencies.handshake();
            if (nonce == null && handshake.isChallenge(bytes)) {
                nonce = handshake.nonce();
                peerMarked = handshake.announcesAcknowledgements(bytes);
                byte[] hello = handshake.hello(bytes, nonce, dependencies.self().value());
                context.writeAndFlush(Unpooled.wrappedBuffer(hello));
            } else if (nonce != null && !welcomed && handshake.verifyWelcome(nonce, bytes)) {
                welcomed = true;
                connected(context.channel(), peerMarked);
            } else {
                traffic.recordRefused();
                context.close();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            drain();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            disconnected(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
