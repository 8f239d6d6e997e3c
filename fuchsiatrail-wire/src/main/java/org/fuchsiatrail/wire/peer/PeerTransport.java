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
 * Carries messages between routers.
 *
 * <p>Each router keeps one connection to every peer it sends to. A message that cannot be sent is dropped: the core
 * repeats what matters.
 */
public final class PeerTransport implements AutoCloseable {

    private static final int LONGEST_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Bytes waiting for one peer above which further messages to it are dropped. */
    private static final long LARGEST_BACKLOG_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup group;
    private final EntryVmId self;
    private final Handshake handshake;
    private final PeerListener listener;
    private final Channel server;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final Set<EntryVmId> blocked = ConcurrentHashMap.newKeySet();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private PeerMessage lastMessage;
    private byte[] lastBytes;

    /**
     * Begins to listen for peers.
     *
     * @param group the threads
     * @param self this router's name
     * @param address where to listen
     * @param secret the secret that all routers share
     * @param listener takes messages
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
                        channel.pipeline().addLast(new Accepted());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    private static void addFraming(SocketChannel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(LONGEST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }

    /**
     * Sends a message, or drops it when the peer cannot be reached.
     *
     * @param to the peer
     * @param address its IP address and port
     * @param message the message
     */
    public void send(EntryVmId to, String address, PeerMessage message) {
        if (blocked.contains(to)) {
            dropped.incrementAndGet();
            return;
        }
        byte[] bytes = written(message);
        sentBytes.addAndGet(bytes.length + LENGTH_BYTES);
        links.computeIfAbsent(address, Link::new).send(bytes);
    }

    /** Writes a message once when it goes to several peers in turn. */
    private synchronized byte[] written(PeerMessage message) {
        if (message != lastMessage) {
            lastMessage = message;
            lastBytes = PeerCodec.write(message);
        }
        return lastBytes;
    }

    /**
     * Cuts or restores the link with a peer, in both directions; for tests of partitions.
     *
     * @param peer the peer
     * @param cut whether messages are dropped
     */
    public void cut(EntryVmId peer, boolean cut) {
        if (cut) {
            blocked.add(peer);
        } else {
            blocked.remove(peer);
        }
    }

    /**
     * Returns the connections refused because the other side did not hold the secret or spoke another version.
     *
     * @return a count
     */
    public long refusedConnections() {
        return refused.get();
    }

    /**
     * Returns the messages that could not be sent.
     *
     * @return a count
     */
    public long droppedMessages() {
        return dropped.get();
    }

    /**
     * Returns the bytes handed to the network.
     *
     * @return a count
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        links.values().forEach(Link::close);
    }

    private void refuse(ChannelHandlerContext context) {
        refused.incrementAndGet();
        context.close();
    }

    /** The accepting side of a connection: proves, checks, then only reads. */
    private final class Accepted extends SimpleChannelInboundHandler<ByteBuf> {
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
                greet(context, bytes);
                return;
            }
            if (blocked.contains(peer)) {
                return;
            }
            try {
                listener.receive(peer, PeerCodec.read(bytes));
            } catch (MalformedPeerMessageException e) {
                refuse(context);
            }
        }

        private void greet(ChannelHandlerContext context, byte[] hello) {
            String name = handshake.checkHello(challenge, hello);
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

    /** The connecting side of the connection to one address. */
    private final class Link {
        private final String address;
        private Channel channel;
        private boolean connecting;
        private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
        private long backlogBytes;

        Link(String address) {
            this.address = address;
        }

        synchronized void send(byte[] bytes) {
            if (channel != null && channel.isActive()) {
                write(channel, bytes);
                return;
            }
            if (backlogBytes + bytes.length > LARGEST_BACKLOG_BYTES) {
                dropped.incrementAndGet();
                return;
            }
            waiting.add(bytes);
            backlogBytes += bytes.length;
            if (!connecting) {
                connect();
            }
        }

        private void write(Channel open, byte[] bytes) {
            if (open.isWritable()) {
                open.writeAndFlush(Unpooled.wrappedBuffer(bytes));
            } else {
                dropped.incrementAndGet();
            }
        }

        private void connect() {
            connecting = true;
            Addresses.Parsed target = Addresses.parse(address);
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel opened) {
                            addFraming(opened);
                            opened.pipeline().addLast(new Connecting(Link.this));
                        }
                    })
                    .connect(target.host(), target.port())
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            failed();
                        }
                    });
        }

        synchronized void ready(Channel opened) {
            channel = opened;
            connecting = false;
            backlogBytes = 0;
            while (!waiting.isEmpty()) {
                opened.writeAndFlush(Unpooled.wrappedBuffer(waiting.poll()));
            }
        }

        synchronized void failed() {
            connecting = false;
            channel = null;
            dropped.addAndGet(waiting.size());
            waiting.clear();
            backlogBytes = 0;
        }

        synchronized void close() {
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** The handshake of the connecting side. */
    private final class Connecting extends SimpleChannelInboundHandler<ByteBuf> {
        private final Link link;
        private byte[] nonce;

        Connecting(Link link) {
            this.link = link;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            if (nonce == null && handshake.isChallenge(bytes)) {
                nonce = handshake.nonce();
                byte[] hello = handshake.hello(bytes, nonce, self.value());
                context.writeAndFlush(Unpooled.wrappedBuffer(hello));
            } else if (nonce != null && handshake.checkWelcome(nonce, bytes)) {
                link.ready(context.channel());
            } else {
                refuse(context);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            link.failed();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
