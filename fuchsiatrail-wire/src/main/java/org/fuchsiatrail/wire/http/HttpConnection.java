package org.fuchsiatrail.wire.http;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Turns the requests of one connection into exchanges, one after the other.
 *
 * <p>A request that arrives before the answer to the one before waits, so answers leave in the order of their requests.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Requests read ahead on one connection; reading pauses above. */
    private static final int MOST_READ_AHEAD = 4;

    private final HttpHandler handler;
    private final BooleanSupplier closing;
    private final ArrayDeque<Pending> queue = new ArrayDeque<>();
    private boolean refusing;

    /** A request whose answer is not complete: an exchange, or a malformed request and its status. */
    private record Pending(ConnectionExchange exchange, int refusal) {}

    HttpConnection(HttpHandler handler, BooleanSupplier closing) {
        this.handler = handler;
        this.closing = closing;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (refusing) {
            return;
        }
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            refusing = true;
            enqueue(context, new Pending(null, decoded.cause() instanceof TooLongFrameException ? 431 : 400));
            return;
        }
        enqueue(context, new Pending(new ConnectionExchange(context, request, closing, () -> next(context)), 0));
    }

    private void enqueue(ChannelHandlerContext context, Pending pending) {
        queue.add(pending);
        if (queue.size() == 1) {
            start(context, pending);
        } else if (queue.size() > MOST_READ_AHEAD) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void start(ChannelHandlerContext context, Pending pending) {
        if (pending.exchange() == null) {
            refuse(context, pending.refusal());
        } else {
            handler.handle(pending.exchange());
        }
    }

    private void next(ChannelHandlerContext context) {
        queue.poll();
        context.channel().config().setAutoRead(true);
        if (!queue.isEmpty() && context.channel().isActive()) {
            start(context, queue.peek());
        }
    }

    private static void refuse(ChannelHandlerContext context, int status) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event == CallerRequestDecoder.Slow.REQUEST) {
            refusing = true;
            enqueue(context, new Pending(null, 408));
        } else if (event == CallerRequestDecoder.Slow.IDLE && queue.isEmpty()) {
            context.close();
        } else {
            super.userEventTriggered(context, event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        Pending current = queue.peek();
        queue.clear();
        if (current != null && current.exchange() != null) {
            current.exchange().closed();
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.atFine().log("Connection of a caller failed: %s", cause);
        context.close();
    }
}
