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
 * Hands the requests of one connection to the handler as exchanges, one at a time.
 *
 * <p>A pipelined request is queued until the previous one is answered, so that responses are sent in request order.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The number of unanswered requests above which reading from the connection is paused. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 4;

    private final HttpHandler handler;
    private final BooleanSupplier closeRequested;
    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private boolean refusing;

    /**
     * A request whose response is not complete.
     *
     * @param exchange the exchange, or null for a request that is refused
     * @param refusalStatus the HTTP status of the refusal, or 0
     */
    private record PendingRequest(ConnectionExchange exchange, int refusalStatus) {}

    HttpConnection(HttpHandler handler, BooleanSupplier closeRequested) {
        this.handler = handler;
        this.closeRequested = closeRequested;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (refusing) {
            return;
        }
        DecoderResult decoderResult = request.decoderResult();
        if (decoderResult.isFailure()) {
            refusing = true;
            enqueue(
                    context,
                    new PendingRequest(null, decoderResult.cause() instanceof TooLongFrameException ? 431 : 400));
            return;
        }
        enqueue(
                context,
                new PendingRequest(
                        new ConnectionExchange(context, request, closeRequested, () -> startNext(context)), 0));
    }

    private void enqueue(ChannelHandlerContext context, PendingRequest pending) {
        pendingRequests.add(pending);
        if (pendingRequests.size() == 1) {
            start(context, pending);
        } else if (pendingRequests.size() > MAXIMUM_PIPELINED_REQUESTS) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void start(ChannelHandlerContext context, PendingRequest pending) {
        if (pending.exchange() == null) {
            refuse(context, pending.refusalStatus());
        } else {
            handler.handle(pending.exchange());
        }
    }

    private void startNext(ChannelHandlerContext context) {
        pendingRequests.poll();
        context.channel().config().setAutoRead(true);
        if (!pendingRequests.isEmpty() && context.channel().isActive()) {
            start(context, pendingRequests.peek());
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
        if (event == CallerRequestDecoder.TimeoutEvent.REQUEST) {
            refusing = true;
            enqueue(context, new PendingRequest(null, 408));
        } else if (event == CallerRequestDecoder.TimeoutEvent.IDLE && pendingRequests.isEmpty()) {
            context.close();
        } else {
            super.userEventTriggered(context, event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        PendingRequest current = pendingRequests.peek();
        pendingRequests.clear();
        if (current != null && current.exchange() != null) {
            current.exchange().connectionClosed();
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.atFine().log("Caller connection failed and is closed: %s", cause);
        context.close();
    }
}
