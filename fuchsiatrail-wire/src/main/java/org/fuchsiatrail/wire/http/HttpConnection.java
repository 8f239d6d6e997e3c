package org.fuchsiatrail.wire.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Hands the requests of one connection to the handler as exchanges, one at a time.
 *
 * <p>A pipelined request is queued until the previous one is answered, so that responses are sent in request order.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** How long a caller may take to close a connection after its last response, in milliseconds. */
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    /** How long the rest of a request is awaited that has begun when the listener shuts down, in milliseconds. */
    private static final long REST_TIMEOUT_MILLIS = 300;

    /** The number of requests after which other connections have their turn. */
    private static final int REQUESTS_IN_TURN = 32;

    private final HttpHandler handler;
    private final CallerRequestDecoder decoder;
    private final BooleanSupplier closeRequested;
    private final ConnectionMemory memory;
    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();
    /** Requests whose response is not written, which another thread may look at. */
    private volatile int unwrittenResponses;
    /** Whether reading has stopped except for a request that had begun before. */
    private volatile boolean restAwaited;

    private boolean inputEnded;
    private boolean continueExpected;
    private boolean readingLast;
    private boolean readingStopped;
    private boolean startingRequests;
    private boolean nextDue;
    private int requestsInTurn;
    private ChannelHandlerContext context;
    private ScheduledFuture<?> closeTimeout;
    private ScheduledFuture<?> restTimeout;

    /**
     * A request whose response is not complete.
     *
     * @param exchange the exchange, or null for a request that is refused
     * @param refusalStatus the HTTP status of the refusal, or 0
     * @param bytes the memory that it keeps
     */
    private record PendingRequest(ConnectionExchange exchange, int refusalStatus, long bytes) {
        static PendingRequest refused(int status) {
            return new PendingRequest(null, status, 0);
        }
    }

    HttpConnection(
            HttpHandler handler,
            CallerRequestDecoder decoder,
            ConnectionMemory memory,
            BooleanSupplier closeRequested) {
        this.handler = handler;
        this.memory = memory;
        this.decoder = decoder;
        this.closeRequested = closeRequested;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        memory.onOutputRead(() -> context.executor().execute(() -> {
            readOn();
            startRequestsDue(context);
        }));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (inputEnded || !context.channel().isActive()) {
            return;
        }
        continueExpected = false;
        DecoderResult decoderResult = request.decoderResult();
        if (decoderResult.isFailure()) {
            endInput();
            enqueue(
                    context,
                    PendingRequest.refused(decoderResult.cause() instanceof TooLongFrameException ? 431 : 400));
            return;
        }
        if (!HttpUtil.isKeepAlive(request)) {
            endInput();
        }
        long bytes = decoder.requestBytes();
        memory.requestWaits(bytes);
        if (!memory.canTake(bytes)) {
            memory.requestEnded(bytes);
            endInput();
            enqueue(context, PendingRequest.refused(HttpResponseStatus.SERVICE_UNAVAILABLE.code()));
            return;
        }
        enqueue(context, new PendingRequest(new ConnectionExchange(context, this, request), 0, bytes));
    }

    ConnectionMemory memory() {
        return memory;
    }

    /** Reads no further request; all bytes that follow are dropped. */
    private void endInput() {
        inputEnded = true;
        decoder.discardInput();
    }

    HttpHandler handler() {
        return handler;
    }

    /**
     * Decides whether a response is the last of the connection, and then sends it. If it is, no further request is
     * read; while a request behind it has arrived, even in part, it is not. What has arrived is read first, since the
     * process may have been busy or suspended meanwhile.
     *
     * @param send sends the response; it is not called if the connection has ended
     */
    void decideWhetherLast(Consumer<Boolean> send) {
        if (inputEnded || hasRequestsBehind() || !closeRequested.getAsBoolean()) {
            send.accept(endsWithResponse());
            return;
        }
        // Later, as this connection may be reading now.
        context.executor().execute(() -> {
            readArrived();
            if (context.channel().isActive()) {
                send.accept(endsWithResponse());
            }
        });
    }

    private boolean endsWithResponse() {
        boolean last = !hasRequestsBehind() && (inputEnded || closeRequested.getAsBoolean());
        if (last) {
            endInput();
        }
        return last;
    }

    /** Reads at once what has arrived on the connection. */
    private void readArrived() {
        if (!readingStopped && context.channel().isActive() && context.channel().unsafe() instanceof NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /**
     * Decides whether the stream that begins now is the last response of the connection. A requested close waits for a
     * later response: requests that cross the head of a stream would have no answer until the stream ends.
     */
    boolean endsWithStream() {
        return inputEnded && !hasRequestsBehind();
    }

    private boolean hasRequestsBehind() {
        return pendingRequests.size() > 1 || (!readingHasStopped() && isPartReceived());
    }

    private boolean isPartReceived() {
        return !inputEnded && decoder.hasBytesBehindLastRequest();
    }

    private boolean readingHasStopped() {
        return readingStopped && !restAwaited;
    }

    /**
     * Closes the connection after its last response. Only the output is closed first: closing a connection with unread
     * bytes resets it, and the caller would lose what it has not read yet.
     */
    void closeOutput(ChannelHandlerContext context) {
        if (closeTimeout != null) {
            return;
        }
        endInput();
        if (!(context.channel() instanceof DuplexChannel channel)
                || context.pipeline().get(SslHandler.class) != null) {
            context.close();
            return;
        }
        channel.config().setAutoRead(true);
        channel.shutdownOutput();
        closeTimeout =
                context.executor().schedule(() -> endDelivery(channel), CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection of a caller that has not done so itself, once it had time to read its last response. */
    private void endDelivery(DuplexChannel channel) {
        if (memory.isOutputQueued()) {
            closeTimeout =
                    channel.eventLoop().schedule(memory::closeNow, decoder.idleTimeoutMillis(), TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    /**
     * Answers what has arrived, and leaves requests that a caller begins from now on unread. The connection is closed
     * at once if nothing is to be answered, as callers would wait for responses until those of all connections are
     * delivered.
     */
    void shutDown() {
        memory.deliverAtClose();
        readingLast = true;
        if (!inputEnded) {
            context.channel().config().setAutoRead(true);
        }
        decoder.resumeNow(context.pipeline().context(decoder));
        readArrived();
        readingLast = false;
        readingStopped = true;
        if (closeTimeout != null || !context.channel().isActive()) {
            return;
        }
        if (isPartReceived()) {
            restAwaited = true;
            restTimeout = context.executor().schedule(this::endRest, REST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            context.channel().config().setAutoRead(true);
        } else {
            endReading();
        }
    }

    /** Reads nothing more once the listener has shut down; what was read in part only is dropped. */
    private void endRest() {
        if (!restAwaited) {
            return;
        }
        restTimeout.cancel(false);
        restAwaited = false;
        if (isPartReceived()) {
            endInput();
        }
        endReading();
    }

    private void endReading() {
        if (unwrittenResponses == 0) {
            closeOutput(context);
        } else {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (restAwaited && !isPartReceived()) {
            endRest();
        }
        super.channelReadComplete(context);
    }

    /** Returns whether the responses to all requests that were read, even in part, are written. */
    boolean allWritten() {
        return unwrittenResponses == 0 && !restAwaited;
    }

    /**
     * Counts a response as written, or as one that cannot be written any more. Once reading has stopped, no response
     * follows the last one that was awaited, even if that one could not announce the end of its connection.
     */
    void responseWritten() {
        unwrittenResponses--;
        decoder.recordActivity();
        if (readingHasStopped() && unwrittenResponses == 0 && context.channel().isActive()) {
            closeOutput(context);
        }
    }

    private void enqueue(ChannelHandlerContext context, PendingRequest pending) {
        pendingRequests.add(pending);
        unwrittenResponses++;
        if (pendingRequests.size() == 1) {
            start(context, pending);
        }
        requestsInTurn++;
        if ((memory.isFull(pendingRequests.size()) || requestsInTurn == REQUESTS_IN_TURN) && !readingLast) {
            pauseReading(context);
        }
    }

    private void pauseReading(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(false);
        memory.setReadingPaused(true);
        if (!readingStopped && !inputEnded) {
            decoder.pause();
        }
        if (requestsInTurn >= REQUESTS_IN_TURN) {
            requestsInTurn = 0;
            context.executor().execute(this::readOn);
        }
    }

    /** Decodes what has arrived before more is read. */
    private void beginTurn() {
        decoder.beginTurn(context.pipeline().context(decoder));
        readOn();
    }

    private void start(ChannelHandlerContext context, PendingRequest pending) {
        if (pending.exchange() == null) {
            refuse(context, pending.refusalStatus());
        } else {
            handle(pending.exchange());
        }
    }

    private void handle(ConnectionExchange exchange) {
        try {
            handler.handle(exchange);
        } catch (RuntimeException | Error e) {
            handler.connectionFailed("Request could not be handled.", e);
            exchange.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), Map.of(), new byte[0]);
        }
    }

    /** Goes on with the next request, since the response to the first one is complete, although not yet written. */
    void startNext(ChannelHandlerContext context, ChannelFuture responseWritten) {
        PendingRequest ended = pendingRequests.poll();
        memory.requestEnded(ended == null ? 0 : ended.bytes());
        readOn();
        if (pendingRequests.isEmpty() && inputEnded) {
            responseWritten.addListener(done -> closeOutput(context));
        }
        nextDue = true;
        startRequestsDue(context);
        sendContinueIfDue(context);
    }

    private void readOn() {
        if (context.channel().isActive()
                && !readingHasStopped()
                && !memory.isFull(pendingRequests.size())
                && !decoder.isTurnOver()) {
            context.channel().config().setAutoRead(true);
            memory.setReadingPaused(false);
            decoder.resume(context.pipeline().context(decoder));
        }
    }

    /** Starts requests until one is not answered at once. A loop, since a recursion would exhaust the stack. */
    private void startRequestsDue(ChannelHandlerContext context) {
        if (startingRequests) {
            return;
        }
        startingRequests = true;
        try {
            while (nextDue && !pendingRequests.isEmpty() && context.channel().isActive() && !memory.isOutputFull()) {
                nextDue = false;
                start(context, pendingRequests.peek());
            }
        } finally {
            startingRequests = false;
            nextDue = nextDue && !pendingRequests.isEmpty();
        }
    }

    private void refuse(ChannelHandlerContext context, int status) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(done -> {
            responseWritten();
            closeOutput(context);
        });
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (!(event instanceof CallerInput input)) {
            super.userEventTriggered(context, event);
            return;
        }
        switch (input) {
            case CallerInput.Refused refused -> {
                endInput();
                enqueue(context, PendingRequest.refused(refused.status()));
            }
            case CallerInput.ContinueExpected expected -> {
                continueExpected = true;
                sendContinueIfDue(context);
            }
            case CallerInput.TurnEnded ended -> {
                context.channel().config().setAutoRead(false);
                context.executor().execute(this::beginTurn);
            }
            case CallerInput.Idle idle -> {
                boolean unread = memory.hasUnsent();
                if (memory.isOutputIdle() && unread) {
                    memory.closeNow();
                } else if (memory.isOutputIdle() && pendingRequests.isEmpty()) {
                    context.close();
                }
            }
        }
    }

    /** Asks for the body of a request once no response to an earlier one is due. */
    private void sendContinueIfDue(ChannelHandlerContext context) {
        if (continueExpected && pendingRequests.isEmpty()) {
            continueExpected = false;
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (closeTimeout != null) {
            closeTimeout.cancel(false);
        }
        if (restTimeout != null) {
            restTimeout.cancel(false);
        }
        restAwaited = false;
        PendingRequest current = pendingRequests.peek();
        pendingRequests.clear();
        unwrittenResponses = 0;
        if (current != null && current.exchange() != null) {
            current.exchange().connectionClosed();
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A connection that ended inside a request is no failure: the caller left, or the process ends.
        if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            LOGGER.atFine().log("Caller connection failed and is closed: %s", cause);
            context.close();
            return;
        }
        handler.connectionFailed("Caller connection failed.", cause);
        if (context.pipeline().get(SslHandler.class) != null) {
            context.close();
        } else if (!inputEnded) {
            endInput();
            enqueue(context, PendingRequest.refused(HttpResponseStatus.INTERNAL_SERVER_ERROR.code()));
        }
    }
}
