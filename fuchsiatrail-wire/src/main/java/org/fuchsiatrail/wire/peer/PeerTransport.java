package org.fuchsiatrail.wire.peer;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.Bootstrap;
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
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;

/**
 * Sends messages to other routers and receives theirs.
 *
 * <p>Each router keeps one connection to every peer that it sends to; messages in the other direction use a connection
 * of the peer's own. A message that cannot be sent is dropped, because the core sends everything that matters again.
 */
public final class PeerTransport implements AutoCloseable {

    private static final int MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** The most bytes queued for one peer while its connection is being set up; further messages to it are dropped. */
    private static final long MAXIMUM_BACKLOG_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup group;
    private final EntryVmId self;
    private final Handshake handshake;
    private final PeerListener listener;
    private final Channel server;
    private final Map<String, OutboundConnection> outboundConnections = new ConcurrentHashMap<>();
    private final Set<EntryVmId> blockedPeers = ConcurrentHashMap.newKeySet();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private PeerMessage lastMessage;
    private byte[] lastBytes;

    /**
     * Creates a transport and starts to listen for connections of peers.
     *
     * @param group the event loops that serve the connections
     * @param self this router's id, which it sends in the handshake
     * @param address the address to listen on
     * @param secret the secret that all routers share
     * @param listener receives the messages of peers
     */
    public PeerTransport(
            EventLoopGroup group, EntryVmId self, InetSocketAddress address, String secret, PeerListener listener) {
        this.group = group;
        this.self = self;
        this.handshake = new Handshake(secret);
        this.listener = listener;
        this.server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addFraming(channel);
                        channel.pipeline().addLast(new InboundHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    private static void addFraming(SocketChannel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(
                        MAXIMUM_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    }

    /**
     * Sends a message, or drops it if the address is invalid, the peer is unreachable or its connection is congested.
     *
     * @param to the peer
     * @param address the peer's IP address and port
     * @param message the message
     */
    public void send(EntryVmId to, String address, PeerMessage message) {
        if (blockedPeers.contains(to)) {
            dropped.incrementAndGet();
            return;
        }
        if (!Addresses.isValid(address)) {
            dropped.incrementAndGet();
            return;
        }
        byte[] bytes = encode(message);
        sentBytes.addAndGet(bytes.length + LENGTH_FIELD_BYTES);
        outboundConnections.computeIfAbsent(address, OutboundConnection::new).send(bytes);
    }

    /**
     * Encodes a message, or returns the bytes of the last one if the same message is sent to several peers in a row.
     */
    private synchronized byte[] encode(PeerMessage message) {
        if (message != lastMessage) {
            lastMessage = message;
            lastBytes = PeerCodec.encode(message);
        }
        return lastBytes;
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
        return refused.get();
    }

    /**
     * Returns how many messages could not be sent and were dropped.
     *
     * @return a count since the start
     */
    public long droppedMessages() {
        return dropped.get();
    }

    /**
     * Returns how many bytes were submitted for sending, including length prefixes. Messages dropped later are counted
     * as well.
     *
     * @return a count since the start
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        outboundConnections.values().forEach(OutboundConnection::close);
    }

    private void refuse(ChannelHandlerContext context) {
        refused.incrementAndGet();
        context.close();
    }

    /** The accepting side of a connection: performs the handshake, then only receives messages. */
    private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private byte[] challenge;
        private EntryVmId peer;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            challenge = handshake.challenge(handshake.nonce());
            context.writeAndFlush(Unpooled.wrappedBuffer(challenge));
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
            context.writeAndFlush(Unpooled.wrappedBuffer(handshake.welcome(hello)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** The connection to the peer at one address; opened on demand, and again after it was closed. */
    private final class OutboundConnection {
        private final String address;
        private Channel channel;
        private boolean connecting;
        private final ArrayDeque<byte[]> backlog = new ArrayDeque<>();
        private long backlogBytes;

        OutboundConnection(String address) {
            this.address = address;
        }

        synchronized void send(byte[] bytes) {
            if (channel != null && channel.isActive()) {
                write(channel, bytes);
                return;
            }
            if (backlogBytes + bytes.length > MAXIMUM_BACKLOG_BYTES) {
                dropped.incrementAndGet();
                return;
            }
            backlog.add(bytes);
            backlogBytes += bytes.length;
            if (!connecting) {
                connect();
            }
        }

        private void write(Channel activeChannel, byte[] bytes) {
            if (activeChannel.isWritable()) {
                activeChannel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
            } else {
                dropped.incrementAndGet();
            }
        }

        private void connect() {
            connecting = true;
            Addresses.HostAndPort target = Addresses.parse(address);
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel newChannel) {
                            addFraming(newChannel);
                            newChannel.pipeline().addLast(new OutboundHandler(OutboundConnection.this));
                        }
                    })
                    .connect(target.host(), target.port())
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            disconnected();
                        }
                    });
        }

        synchronized void connected(Channel newChannel) {
            channel = newChannel;
            connecting = false;
            backlogBytes = 0;
            while (!backlog.isEmpty()) {
                newChannel.writeAndFlush(Unpooled.wrappedBuffer(backlog.poll()));
            }
        }

        synchronized void disconnected() {
            connecting = false;
            channel = null;
            dropped.addAndGet(backlog.size());
            backlog.clear();
            backlogBytes = 0;
        }

        synchronized void close() {
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** The connecting side of a connection: performs the handshake; receives no messages. */
    private final class OutboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final OutboundConnection connection;
        private byte[] nonce;

        OutboundHandler(OutboundConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            if (nonce == null && handshake.isChallenge(bytes)) {
                nonce = handshake.nonce();
                byte[] hello = handshake.hello(bytes, nonce, self.value());
                context.writeAndFlush(Unpooled.wrappedBuffer(hello));
            } else if (nonce != null && handshake.verifyWelcome(nonce, bytes)) {
                connection.connected(context.channel());
            } else {
                refuse(context);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connection.disconnected();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
