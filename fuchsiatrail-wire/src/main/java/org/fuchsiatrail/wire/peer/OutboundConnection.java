package org.fuchsiatrail.wire.peer;

import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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

/**
 * The connection to the peer at one address; opened on demand, and again after it was closed. While it takes nothing,
 * messages wait in {@link WaitingMessages}.
 */
final class OutboundConnection {

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** The time in which a connection has to be set up, with its handshake, in milliseconds. */
    static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;

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

    /**
     * What all connections of a router share.
     *
     * @param group the event loops that serve the connections
     * @param self this router's id
     * @param handshake the handshake
     * @param encoder encodes and merges messages
     * @param traffic counts what is sent
     */
    record Dependencies(
            EventLoopGroup group, EntryVmId self, Handshake handshake, UpdateEncoder encoder, PeerTraffic traffic) {}

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
        if (channel == null && attempt != null && nowMillis - attemptSinceMillis >= HANDSHAKE_TIMEOUT_MILLIS) {
            Channel unanswered = attempt;
            disconnected(unanswered);
            unanswered.close();
        }
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
        ChannelFuture written = channel.writeAndFlush(Unpooled.wrappedBuffer(message.bytes()));
        if (written.isSuccess()) {
            recordWait(message, nowMillis);
            return;
        }
        inFlight.add(message);
        inFlightBytes += message.bytes().length;
        written.addListener(done -> written(message, done.isSuccess()));
    }

    private synchronized void written(OutgoingMessage message, boolean success) {
        inFlight.remove(message);
        inFlightBytes -= message.bytes().length;
        if (success) {
            recordWait(message, traffic.nowMillis());
        } else {
            waiting.takeBack(message);
        }
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

    private synchronized void connected(Channel newChannel) {
        if (newChannel == attempt) {
            channel = newChannel;
            drain();
        }
    }

    private synchronized void disconnected(Channel closed) {
        if (closed == attempt) {
            attempt = null;
            channel = null;
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

    /** The connecting side of a connection: performs the handshake; receives no messages. */
    private final class OutboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private byte[] nonce;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            Handshake handshake = dependencies.handshake();
            if (nonce == null && handshake.isChallenge(bytes)) {
                nonce = handshake.nonce();
                byte[] hello = handshake.hello(bytes, nonce, dependencies.self().value());
                context.writeAndFlush(Unpooled.wrappedBuffer(hello));
            } else if (nonce != null && handshake.verifyWelcome(nonce, bytes)) {
                connected(context.channel());
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
