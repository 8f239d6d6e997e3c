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

/** Listens for HTTP on one port. */
public final class HttpListener implements AutoCloseable {

    private final Channel channel;

    private HttpListener(Channel channel) {
        this.channel = channel;
    }

    /**
     * Begins to listen with limits that do not change.
     *
     * @param group the threads
     * @param address where; port 0 takes a free one
     * @param limits the sizes accepted
     * @param tls gives the TLS context of each new connection, or null for plain HTTP
     * @param handler answers requests
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
     * Begins to listen.
     *
     * @param group the threads
     * @param address where; port 0 takes a free one
     * @param limits gives the sizes and times of each new connection
     * @param tls gives the TLS context of each new connection, or null for plain HTTP
     * @param closing tells whether answers ask callers to close their connections
     * @param handler answers requests
     * @return the listener
     */
    public static HttpListener listen(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            Supplier<SslContext> tls,
            BooleanSupplier closing,
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
                        HttpLimits granted = limits.get();
                        connection
                                .pipeline()
                                .addLast(new CallerRequestDecoder(granted))
                                .addLast(new HttpResponseEncoder())
                                .addLast(new HttpObjectAggregator(granted.bodyBytes()))
                                .addLast(new HttpConnection(handler, closing));
                    }
                });
        return new HttpListener(bootstrap.bind(address).syncUninterruptibly().channel());
    }

    /**
     * Returns the port.
     *
     * @return the port listened on
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }
}
