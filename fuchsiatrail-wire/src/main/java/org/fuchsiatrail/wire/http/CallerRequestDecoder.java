package org.fuchsiatrail.wire.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.wire.SteadyClock;

/**
 * Decodes HTTP requests strictly and enforces the {@link HttpLimits} that are in force when each of them begins.
 *
 * <p>A request whose body length is ambiguous is rejected as malformed, which prevents request smuggling.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8 * 1024;
    private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;
    private static final Clock CLOCK = SteadyClock.ofThisMachine();

    /** The messages, such as chunks, after which other connections have their turn. */
    private static final int MESSAGES_IN_TURN = 256;

    /** The bytes of a head that take as long to decode as a message. */
    private static final int HEAD_BYTES_OF_MESSAGE = 64;

    /** What a header field keeps beside its bytes: 160 in each of the copies of a request in work. */
    private static final long FIELD_BYTES = 4 * 160;

    private final Supplier<HttpLimits> limitsInForce;
    private final ConnectionMemory memory;
    private HttpLimits limits;
    private ScheduledFuture<?> headerTimeout;
    private ScheduledFuture<?> idleCheck;
    private boolean inHead;
    private boolean inBody;
    private boolean discarding;
    private boolean paused;
    private boolean turnOver;
    private boolean decodesWhole;
    private int messagesInTurn;
    private long headBytes;
    private long bodyBytes;
    /** The bytes that were received since the last part of a body, which are header fields behind it. */
    private long bytesBehindBody;

    private long requestBytes;
    private long lastActivityAtMillis;
    private long idleCheckDelayMillis;

    CallerRequestDecoder(Supplier<HttpLimits> limitsInForce, ConnectionMemory memory) {
        // The decoder's own limit on headers is fixed for the life of the connection.
        super(MAXIMUM_REQUEST_LINE_BYTES, Integer.MAX_VALUE, MAXIMUM_CHUNK_BYTES);
        this.limitsInForce = limitsInForce;
        this.limits = limitsInForce.get();
        this.memory = memory;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) throws Exception {
        super.handlerAdded(context);
        memory.onReadingStopped(() -> {
            refuse(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
            resume(context);
        });
        recordActivity();
        scheduleIdleCheck(context, limits.idleTimeoutMillis());
    }

    /** Begins the idle time anew, because a byte was received or a response was sent. */
    void recordActivity() {
        lastActivityAtMillis = CLOCK.nowMillis();
    }

    private void scheduleIdleCheck(ChannelHandlerContext context, long delayMillis) {
        idleCheckDelayMillis = delayMillis;
        idleCheck = context.executor().schedule(() -> checkIdle(context), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkIdle(ChannelHandlerContext context) {
        long timeoutMillis = limitsInForce.get().idleTimeoutMillis();
        long remainingMillis = lastActivityAtMillis + timeoutMillis - CLOCK.nowMillis();
        if (remainingMillis <= 0 && (inHead || inBody) && !discarding) {
            refuse(context, HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (remainingMillis <= 0) {
            context.fireUserEventTriggered(new CallerInput.Idle());
        }
        if (context.channel().isOpen()) {
            scheduleIdleCheck(context, remainingMillis > 0 ? remainingMillis : timeoutMillis);
        }
    }

    /** Returns whether bytes were received behind the last complete request. */
    boolean hasBytesBehindLastRequest() {
        return inHead || inBody || internalBuffer().isReadable();
    }

    /** Drops all further bytes, which belong to no request that is answered. */
    void discardInput() {
        discarding = true;
        cancelHeaderTimeout();
        memory.setReading(0);
    }

    /** Leaves requests that have arrived as they are, since decoded ones take more memory. */
    void pause() {
        paused = true;
    }

    /** Goes on with the next messages that have arrived, until the turn is over again. */
    void beginTurn(ChannelHandlerContext context) {
        messagesInTurn = 0;
        turnOver = false;
        decodeRest(context);
    }

    /** Returns whether messages that have arrived wait for the next turn. */
    boolean isTurnOver() {
        return turnOver;
    }

    /** Goes on with the requests that have arrived; outside of a call of this handler. */
    void resume(ChannelHandlerContext context) {
        if (paused) {
            paused = false;
            context.executor().execute(() -> decodeRest(context));
        }
    }

    /** Decodes at once what has arrived, however many requests they are; outside of a call of this handler. */
    void resumeNow(ChannelHandlerContext context) {
        paused = false;
        turnOver = false;
        decodesWhole = true;
        decodeRest(context);
    }

    private void decodeRest(ChannelHandlerContext context) {
        if (!paused && !turnOver && !context.isRemoved() && internalBuffer().isReadable()) {
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    /** Returns how long a caller may be idle, in milliseconds. */
    long idleTimeoutMillis() {
        return limitsInForce.get().idleTimeoutMillis();
    }

    /** Returns what the request keeps that was decoded last. */
    long requestBytes() {
        return requestBytes;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        memory.readCompleted();
        if (paused || turnOver) {
            // The superclass would read on.
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    private void refuse(ChannelHandlerContext context, HttpResponseStatus status) {
        discardInput();
        context.executor().execute(() -> dropGathered(context));
        context.fireUserEventTriggered(new CallerInput.Refused(status.code()));
    }

    /** Drops what was gathered of a refused request at once, as its caller may send nothing more. */
    private void dropGathered(ChannelHandlerContext context) {
        if (internalBuffer().isReadable()) {
            resumeNow(context);
        } else if (!context.isRemoved()) {
            try {
                discard(context, Unpooled.EMPTY_BUFFER, new ArrayList<>());
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        recordActivity();
        if (discarding) {
            discard(context, buffer, out);
            return;
        }
        if (messagesInTurn >= MESSAGES_IN_TURN && !decodesWhole) {
            endTurn(context, buffer);
            return;
        }
        if (!inHead && !inBody) {
            if (paused) {
                memory.setReading(buffer.capacity());
                return;
            }
            memory.requestBegins();
            adoptLimitsInForce(context);
            headBytes = 0;
            requestBytes = 0;
        }
        int sizeBefore = out.size();
        int indexBefore = buffer.readerIndex();
        boolean inHeadBefore = inHead;
        boolean inBodyBefore = inBody;
        super.decode(context, buffer, out);
        boolean nothingDecoded = out.size() == sizeBefore;
        headBytes += inBody ? 0 : buffer.readerIndex() - indexBefore;
        inHead = !inBody && nothingDecoded && (inHeadBefore || beginsRequest(buffer, indexBefore));
        List<Object> decoded = out.subList(sizeBefore, out.size());
        messagesInTurn += decoded.size();
        messagesInTurn += inBodyBefore ? 0 : (buffer.readerIndex() - indexBefore) / HEAD_BYTES_OF_MESSAGE;
        HttpResponseStatus refusal = check(context, buffer, buffer.readerIndex() - indexBefore, decoded);
        if (refusal == null) {
            stateRequest(buffer, indexBefore, decoded);
        } else {
            refuse(context, refusal);
        }
        if (discarding) {
            decoded.forEach(ReferenceCountUtil::release);
            decoded.clear();
            discard(context, buffer, out);
            return;
        }
        updateHeaderTimeout(context);
    }

    private void endTurn(ChannelHandlerContext context, ByteBuf buffer) {
        if (!turnOver) {
            turnOver = true;
            memory.setReading((inHead || inBody ? requestBytes : 0) + buffer.capacity());
            context.fireUserEventTriggered(new CallerInput.TurnEnded());
        }
    }

    /** Drops what has arrived, also the header fields that the superclass has gathered for an incomplete message. */
    private void discard(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        buffer.skipBytes(buffer.readableBytes());
        if (inHead || inBody) {
            inHead = false;
            inBody = false;
            reset();
            super.decode(context, Unpooled.EMPTY_BUFFER, out);
        }
    }

    /** States what the request keeps so far; it may be refused for it. */
    private void stateRequest(ByteBuf buffer, int indexBefore, List<Object> decoded) {
        boolean onlyBody = !decoded.isEmpty() && !(decoded.get(0) instanceof HttpRequest);
        if (!onlyBody) {
            requestBytes += 2L * (buffer.readerIndex() - indexBefore);
            for (int index = indexBefore; index < buffer.readerIndex(); index++) {
                requestBytes += buffer.getByte(index) == '\n' ? FIELD_BYTES : 0;
            }
        }
        for (Object message : decoded) {
            requestBytes +=
                    message instanceof HttpContent content ? content.content().readableBytes() : 0;
        }
        boolean complete = !inHead && !inBody;
        if (inHead || inBody || !decoded.isEmpty()) {
            memory.setReading(requestBytes + (decoded.isEmpty() && !complete ? buffer.capacity() : 0));
        }
    }

    private void adoptLimitsInForce(ChannelHandlerContext context) {
        limits = limitsInForce.get();
        if (limits.idleTimeoutMillis() < idleCheckDelayMillis) {
            idleCheck.cancel(false);
            scheduleIdleCheck(context, limits.idleTimeoutMillis());
        }
    }

    /** Returns whether bytes are more than the empty lines that may precede a request. */
    private static boolean beginsRequest(ByteBuf buffer, int fromIndex) {
        return buffer.forEachByte(fromIndex, buffer.writerIndex() - fromIndex, value -> value == '\r' || value == '\n')
                >= 0;
    }

    /** Returns the status with which the request is refused, or null if it is within the limits so far. */
    private HttpResponseStatus check(
            ChannelHandlerContext context, ByteBuf buffer, int consumedBytes, List<Object> decoded) {
        if (inHead && headBytes + buffer.readableBytes() > limits.headerBytes() + MAXIMUM_REQUEST_LINE_BYTES) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        bytesBehindBody = inBody && decoded.isEmpty() ? bytesBehindBody + consumedBytes : 0;
        if (inBody
                && decoded.isEmpty()
                && bytesBehindBody + buffer.readableBytes() > limits.headerBytes() + MAXIMUM_REQUEST_LINE_BYTES) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        for (Object message : decoded) {
            HttpResponseStatus refusal = null;
            if (message instanceof HttpRequest request) {
                inBody = true;
                bodyBytes = 0;
                refusal = checkHead(context, request);
            }
            if (message instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                refusal = bodyBytes > limits.bodyBytes() ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : refusal;
            }
            if (message instanceof LastHttpContent) {
                inBody = false;
            }
            if (refusal != null) {
                return refusal;
            }
        }
        return null;
    }

    private HttpResponseStatus checkHead(ChannelHandlerContext context, HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return null;
        }
        long size = 0;
        for (Map.Entry<String, String> header : request.headers()) {
            size += header.getKey().length() + header.getValue().length() + 2;
        }
        if (size > limits.headerBytes()) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        if (expectation == null || request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
            return null;
        }
        if (!HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
            return HttpResponseStatus.EXPECTATION_FAILED;
        }
        request.headers().remove(HttpHeaderNames.EXPECT);
        context.fireUserEventTriggered(new CallerInput.ContinueExpected());
        return null;
    }

    private void updateHeaderTimeout(ChannelHandlerContext context) {
        if (!inHead) {
            cancelHeaderTimeout();
        } else if (headerTimeout == null) {
            headerTimeout = context.executor()
                    .schedule(
                            () -> refuse(context, HttpResponseStatus.REQUEST_TIMEOUT),
                            limits.headerTimeoutMillis(),
                            TimeUnit.MILLISECONDS);
        }
    }

    private void cancelHeaderTimeout() {
        if (headerTimeout != null) {
            headerTimeout.cancel(false);
            headerTimeout = null;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("The request must not have both Content-Length and Transfer-Encoding.");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean unsupportedEncoding = !encodings.isEmpty()
                && !(encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
        boolean encodingInHttp10 =
                !encodings.isEmpty() && message.protocolVersion().equals(HttpVersion.HTTP_1_0);
        if (unsupportedEncoding || encodingInHttp10) {
            throw new IllegalArgumentException(
                    "Transfer-Encoding must be 'chunked' alone, and is not allowed in HTTP/1.0.");
        }
        return super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        cancelHeaderTimeout();
        if (idleCheck != null) {
            idleCheck.cancel(false);
        }
        super.handlerRemoved0(context);
    }
}
