package org.fuchsiatrail.wire.forwarding;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;

/**
 * Records what is written and read on a connection to an upstream, and handles the end of what the upstream sends.
 *
 * <p>An upstream that closes its connection with a part of the request unread ends its output at times before it resets
 * the connection. A response that only this end delimits is complete if no reset follows.
 */
final class TransferredBytes extends ChannelDuplexHandler {

    /** How long a reset is awaited after the end of an upstream's output, in milliseconds. */
    private static final long RESET_TIMEOUT_MILLIS = 20;

    /** The size of requests that arrive in one piece, in bytes; the payload of a segment. */
    private static final long SHORT_REQUEST_BYTES = 1_400;

    @Override
    public void write(ChannelHandlerContext context, Object bytes, ChannelPromise promise) {
        UpstreamConnection connection = UpstreamConnection.of(context.channel());
        connection.writeBegun(bytes instanceof ByteBuf buffer ? buffer.readableBytes() : 0);
        context.write(bytes, promise.unvoid().addListener(written -> {
            if (written.isSuccess()) {
                connection.writeEnded();
            }
        }));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        UpstreamConnection connection = UpstreamConnection.of(context.channel());
        if (connection.isIdle()) {
            // These may be the beginning of a response.
            connection.setInsideResponse(true);
        }
        connection.setReading(true);
        try {
            context.fireChannelRead(bytes);
        } finally {
            connection.setReading(false);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        UpstreamConnection.of(context.channel()).setReadFailed();
        context.fireExceptionCaught(cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            handleEndOfInput(context, UpstreamConnection.of(context.channel()));
        } else if (!(event instanceof ChannelInputShutdownReadComplete)) {
            context.fireUserEventTriggered(event);
        }
    }

    private void handleEndOfInput(ChannelHandlerContext context, UpstreamConnection connection) {
        if (connection.isIdle()
                || connection.isRequestUnwritten()
                || !connection.endsWithConnection()
                || connection.requestBytes() <= SHORT_REQUEST_BYTES) {
            context.close();
        } else {
            context.executor().schedule(() -> checkForReset(context), RESET_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Writes a byte, which fails if the connection was reset and so leaves the request unwritten; a read does not fail
     * any more. The upstream reads nothing behind its request, as the connection is closed.
     */
    private void checkForReset(ChannelHandlerContext context) {
        if (context.channel().isActive()) {
            write(context, Unpooled.wrappedBuffer(new byte[1]), context.newPromise());
            context.flush();
            context.close();
        }
    }
}
