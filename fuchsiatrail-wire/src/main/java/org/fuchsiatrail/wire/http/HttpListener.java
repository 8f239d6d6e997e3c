package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.concurrent.Promise;
import org.fuchsiatrail.wire.memory.MemoryBudget;

/** An HTTP server on one port, plain or with TLS. */
public final class HttpListener implements AutoCloseable {

    /** How often connections are checked for responses that are not written yet, in milliseconds. */
    private static final long WRITTEN_CHECK_MILLIS = 5;

    /** How long written responses may be on their way before their connections are closed, in milliseconds. */
    private static final long DELIVERY_MILLIS = 50;

    /** The number of connections that may wait to be accepted. */
    private static final int BACKLOG = 1024;

    private final Channel channel;
    private final ChannelGroup connections;

    private HttpListener(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Starts a listener with fixed limits that keeps connections open.
     *
     * @param group the event loops that serve the connections
     * @param address the address to listen on; port 0 selects a free port
     * @param limits the size limits and timeouts of each connection
     * @param tls supplies the TLS context of each new connection, or null for plain HTTP
     * @param handler handles the requests
     * @return the listener
     */
    public static HttpListener listen(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            Supplier<SslContext> tls,
            HttpHandler handler) {
        return listen(group, address, () -> limits, tls, () -> false, MemoryBudget.unlimited(), handler);
    }

    /**
     * Starts a listener without a memory budget.
     *
     * @param group the event loops that serve the connections
     * @param address the address to listen on; port 0 selects a free port
     * @param limits supplies the size limits and timeouts in force, also for connections that are open
     * @param tls supplies the TLS context of each new connection, or null for plain HTTP
     * @param closeRequested returns whether responses close their connection, with {@code Connection: close}
     * @param handler handles the requests
     * @return the listener
     */
    public static HttpListener listen(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            Supplier<SslContext> tls,
            BooleanSupplier closeRequested,
            HttpHandler handler) {
        return listen(group, address, limits, tls, closeRequested, MemoryBudget.unlimited(), handler);
    }

    /**
     * Starts a listener.
     *
     * @param group the event loops that serve the connections
     * @param address the address to listen on; port 0 selects a free port
     * @param limits supplies the size limits and timeouts in force, also for connections that are open
     * @param tls supplies the TLS context of each new connection, or null for plain HTTP
     * @param closeRequested returns whether responses close their connection, with {@code Connection: close}
     * @param budget bounds what the connections keep; with a bound, the group has one event loop
     * @param handler handles the requests
     * @return the listener
     */
    public static HttpListener listen(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            Supplier<SslContext> tls,
            BooleanSupplier closeRequested,
            MemoryBudget budget,
            HttpHandler handler) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        KeepAliveProbes.enable(connection);
                        if (tls != null) {
                            connection.pipeline().addLast(tls.get().newHandler(connection.alloc()));
                        }
                        boolean admitted = budget.connectionOpened();
                        connection.closeFuture().addListener(closed -> budget.connectionClosed());
                        if (!admitted) {
                            connection.close();
                            return;
                        }
                        if (budget.socketBufferBytes() > 0) {
                            connection.config().setSendBufferSize(budget.socketBufferBytes());
                        }
                        ConnectionMemory memory = new ConnectionMemory(budget, connection);
                        connection.closeFuture().addListener(closed -> memory.close());
                        CallerRequestDecoder decoder = new CallerRequestDecoder(limits, memory);
                        connection
                                .pipeline()
                                .addLast(decoder)
                                .addLast(new HttpResponseEncoder())
                                .addLast(new RequestAssembler(budget))
                                .addLast(new HttpConnection(handler, decoder, memory, closeRequested));
                        connections.add(connection);
                    }
                });
        if (budget.socketBufferBytes() > 0) {
            // Connections take the size over from the listening socket, as it has to be set before they are opened.
            bootstrap.option(ChannelOption.SO_RCVBUF, budget.socketBufferBytes());
        }
        return new HttpListener(bootstrap.bind(address).syncUninterruptibly().channel(), connections);
    }

    /**
     * Returns the port that the listener is bound to.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Prepares the end of the process: accepts only connections that wait, and reads only requests that have arrived.
     *
     * @return completes once the responses to all requests that were read are delivered, and the connections closed
     */
    public Future<Void> shutDown() {
        Promise<Void> delivered = channel.eventLoop().newPromise();
        channel.eventLoop().execute(() -> {
            acceptWaiting();
            // The system closes a listening socket at the next selection; until then callers that are told to leave
            // come back.
            channel.close()
                    .addListener(closed -> channel.eventLoop()
                            .schedule(() -> shutDownConnections(delivered), 1, TimeUnit.MILLISECONDS));
        });
        return delivered;
    }

    /** Accepts all connections that wait, as closing the listening socket resets them with the requests on them. */
    private void acceptWaiting() {
        if (channel.isActive()
                && channel.unsafe() instanceof NioUnsafe unsafe
                && channel.config().getRecvByteBufAllocator() instanceof MaxMessagesRecvByteBufAllocator limit) {
            limit.maxMessagesPerRead(BACKLOG);
            unsafe.read();
        }
    }

    private void shutDownConnections(Promise<Void> delivered) {
        connections.forEach(connection ->
                connection.eventLoop().execute(() -> httpConnection(connection).ifPresent(HttpConnection::shutDown)));
        channel.eventLoop().execute(() -> awaitDelivery(delivered));
    }

    private void awaitDelivery(Promise<Void> delivered) {
        boolean written = connections.stream()
                .flatMap(connection -> httpConnection(connection).stream())
                .allMatch(HttpConnection::allWritten);
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (written) {
                                connections.close().addListener(closed -> delivered.setSuccess(null));
                            } else {
                                awaitDelivery(delivered);
                            }
                        },
                        written ? DELIVERY_MILLIS : WRITTEN_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private static Optional<HttpConnection> httpConnection(Channel connection) {
        return Optional.ofNullable(connection.pipeline().get(HttpConnection.class));
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }
}
