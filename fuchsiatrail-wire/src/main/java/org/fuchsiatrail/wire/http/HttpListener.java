package org.fuchsiatrail.wire.http;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;

/** Listens for HTTP on one port. */
public final class HttpListener implements AutoCloseable {

    private static final int LONGEST_FIRST_LINE_BYTES = 8 * 1024;
    private static final int CHUNK_BYTES = 64 * 1024;

    private final Channel channel;

    private HttpListener(Channel channel) {
        this.channel = channel;
    }

    /**
     * Begins to listen.
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
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        if (tls != null) {
                            connection.pipeline().addLast(tls.get().newHandler(connection.alloc()));
                        }
                        connection
                                .pipeline()
                                .addLast(new HttpServerCodec(
                                        LONGEST_FIRST_LINE_BYTES, limits.headerBytes(), CHUNK_BYTES))
                                .addLast(new HttpObjectAggregator(limits.bodyBytes()))
                                .addLast(new HttpConnection(handler));
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
