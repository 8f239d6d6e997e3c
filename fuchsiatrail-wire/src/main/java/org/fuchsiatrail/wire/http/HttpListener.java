package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.ssl.SslContext;

/** An HTTP server on one port, plain or with TLS. */
public final class HttpListener implements AutoCloseable {

    private final Channel channel;

    private HttpListener(Channel channel) {
        this.channel = channel;
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
        return listen(group, address, () -> limits, tls, () -> false, handler);
    }

    /**
     * Starts a listener.
     *
     * @param group the event loops that serve the connections
     * @param address the address to listen on; port 0 selects a free port
     * @param limits supplies the size limits and timeouts of each new connection
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
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        KeepAliveProbes.enable(connection);
                        if (tls != null) {
                            connection.pipeline().addLast(tls.get().newHandler(connection.alloc()));
                        }
                        HttpLimits connectionLimits = limits.get();
                        connection
                                .pipeline()
                                .addLast(new CallerRequestDecoder(connectionLimits))
                                .addLast(new HttpResponseEncoder())
                                .addLast(new HttpObjectAggregator(connectionLimits.bodyBytes()))
                                .addLast(new HttpConnection(handler, closeRequested));
                    }
                });
        return new HttpListener(bootstrap.bind(address).syncUninterruptibly().channel());
    }

    /**
     * Returns the port that the listener is bound to.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }
}
