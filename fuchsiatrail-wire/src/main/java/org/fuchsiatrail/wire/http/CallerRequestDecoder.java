package org.fuchsiatrail.wire.http;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Decodes HTTP requests strictly and enforces the timeouts of {@link HttpLimits}.
 *
 * <p>A request whose body length is ambiguous is rejected as malformed, which prevents request smuggling.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8 * 1024;
    private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

    /** A user event of the channel pipeline: the caller exceeded a timeout. */
    enum TimeoutEvent {
        /** The head or the body of a request did not arrive in time. */
        REQUEST,
        /** No further request arrived on the connection in time. */
        IDLE
    }

    private final HttpLimits limits;
    private ScheduledFuture<?> headerTimeout;
    private ScheduledFuture<?> idleCheck;
    private boolean inBody;
    private boolean receivedSinceIdleCheck;

    CallerRequestDecoder(HttpLimits limits) {
        super(MAXIMUM_REQUEST_LINE_BYTES, limits.headerBytes(), MAXIMUM_CHUNK_BYTES);
        this.limits = limits;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) throws Exception {
        super.handlerAdded(context);
        scheduleIdleCheck(context);
    }

    private void scheduleIdleCheck(ChannelHandlerContext context) {
        receivedSinceIdleCheck = false;
        idleCheck = context.executor()
                .schedule(
                        () -> {
                            if (!receivedSinceIdleCheck) {
                                context.fireUserEventTriggered(inBody ? TimeoutEvent.REQUEST : TimeoutEvent.IDLE);
                            }
                            if (context.channel().isOpen()) {
                                scheduleIdleCheck(context);
                            }
                        },
                        limits.idleTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        receivedSinceIdleCheck = true;
        int sizeBefore = out.size();
        super.decode(context, buffer, out);
        for (Object message : out.subList(sizeBefore, out.size())) {
            if (message instanceof HttpRequest) {
                inBody = true;
            }
            if (message instanceof LastHttpContent) {
                inBody = false;
            }
        }
        boolean headIncomplete = !inBody && buffer.isReadable() && out.size() == sizeBefore;
        if (headIncomplete && headerTimeout == null) {
            headerTimeout = context.executor()
                    .schedule(
                            () -> {
                                headerTimeout = null;
                                context.fireUserEventTriggered(TimeoutEvent.REQUEST);
                            },
                            limits.headerTimeoutMillis(),
                            TimeUnit.MILLISECONDS);
        } else if (out.size() > sizeBefore && headerTimeout != null) {
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
        if (headerTimeout != null) {
            headerTimeout.cancel(false);
        }
        if (idleCheck != null) {
            idleCheck.cancel(false);
        }
        super.handlerRemoved0(context);
    }
}
