package org.fuchsiatrail.wire.forwarding;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Limits the rate at which a connection to an upstream is read while a response is long, so that a response without end
 * leaves the event loop to other connections. The first bytes after a request are read at any rate.
 */
final class ReadRateLimiter extends ChannelDuplexHandler {

    /** The bytes after a request that are not limited; most responses are shorter. */
    private static final long UNLIMITED_BYTES = 512 * 1024;

    /** The bytes after which reading pauses. */
    private static final long SLICE_BYTES = 64 * 1024;

    /** The rate that all limited connections share, in bytes per millisecond. */
    private static final long SHARED_BYTES_PER_MILLISECOND = 32 * 1024;

    private final LimitedConnections limitedConnections;
    private long bytesSinceRequest;
    private long sliceBytes;
    private boolean limited;
    private boolean paused;
    private boolean held;
    private boolean readRequested;

    /** The number of connections that are limited now. Used on one event loop only. */
    static final class LimitedConnections {
        private int count;
    }

    private ReadRateLimiter(LimitedConnections limitedConnections) {
        this.limitedConnections = limitedConnections;
    }

    /** Limits a connection, together with others that share the rate. */
    static void install(Channel connection, LimitedConnections limitedConnections) {
        connection.pipeline().addFirst(new ReadRateLimiter(limitedConnections));
    }

    /** Stops the reading of a connection whose caller reads slowly, or goes on with it. */
    static void hold(Channel connection, boolean isHeld) {
        ReadRateLimiter limiter = connection.pipeline().get(ReadRateLimiter.class);
        ChannelHandlerContext context = connection.pipeline().context(ReadRateLimiter.class);
        if (limiter == null || limiter.held == isHeld) {
            return;
        }
        limiter.held = isHeld;
        if (isHeld) {
            connection.config().setAutoRead(false);
        } else if (!limiter.paused) {
            limiter.readOn(context);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        bytesSinceRequest = 0;
        setLimited(false);
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        bytesSinceRequest += bytes;
        if (bytesSinceRequest > UNLIMITED_BYTES) {
            setLimited(true);
            sliceBytes += bytes;
            if (sliceBytes >= SLICE_BYTES && !paused) {
                pause(context);
            }
        }
        context.fireChannelRead(message);
    }

    private void pause(ChannelHandlerContext context) {
        paused = true;
        context.channel().config().setAutoRead(false);
        long millis = Math.max(1, sliceBytes * limitedConnections.count / SHARED_BYTES_PER_MILLISECOND);
        sliceBytes = 0;
        context.executor().schedule(() -> resume(context), millis, TimeUnit.MILLISECONDS);
    }

    private void resume(ChannelHandlerContext context) {
        paused = false;
        if (!held) {
            readOn(context);
        }
    }

    private void readOn(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(true);
        if (readRequested) {
            readRequested = false;
            context.read();
        }
    }

    /** The HTTP client requests reads by itself after each one, also while the connection does not read on its own. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (paused || held) {
            readRequested = true;
        } else {
            context.read();
        }
    }

    private void setLimited(boolean isLimited) {
        if (limited != isLimited) {
            limited = isLimited;
            limitedConnections.count += isLimited ? 1 : -1;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        setLimited(false);
        context.fireChannelInactive();
    }
}
