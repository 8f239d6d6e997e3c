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
 * Reads requests strictly and in bounded time.
 *
 * <p>A request whose end could be read in two ways is malformed, so that nothing can be smuggled behind it.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

    private static final int LONGEST_FIRST_LINE_BYTES = 8 * 1024;
    private static final int CHUNK_BYTES = 64 * 1024;

    /** The caller took too long; a user event of the pipeline. */
    enum Slow {
        /** For the head or the body of a request. */
        REQUEST,
        /** For a next request. */
        IDLE
    }

    private final HttpLimits limits;
    private ScheduledFuture<?> headTimeout;
    private ScheduledFuture<?> idleTimeout;
    private boolean inBody;
    private boolean bytesSinceLook;

    CallerRequestDecoder(HttpLimits limits) {
        super(LONGEST_FIRST_LINE_BYTES, limits.headerBytes(), CHUNK_BYTES);
        this.limits = limits;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) throws Exception {
        super.handlerAdded(context);
        lookForIdleness(context);
    }

    private void lookForIdleness(ChannelHandlerContext context) {
        bytesSinceLook = false;
        idleTimeout = context.executor()
                .schedule(
                        () -> {
                            if (!bytesSinceLook) {
                                context.fireUserEventTriggered(inBody ? Slow.REQUEST : Slow.IDLE);
                            }
                            if (context.channel().isOpen()) {
                                lookForIdleness(context);
                            }
                        },
                        limits.idleTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        bytesSinceLook = true;
        int before = out.size();
        super.decode(context, buffer, out);
        for (Object message : out.subList(before, out.size())) {
            if (message instanceof HttpRequest) {
                inBody = true;
            }
            if (message instanceof LastHttpContent) {
                inBody = false;
            }
        }
        boolean headIncomplete = !inBody && buffer.isReadable() && out.size() == before;
        if (headIncomplete && headTimeout == null) {
            headTimeout = context.executor()
                    .schedule(
                            () -> {
                                headTimeout = null;
                                context.fireUserEventTriggered(Slow.REQUEST);
                            },
                            limits.headerTimeoutMillis(),
                            TimeUnit.MILLISECONDS);
        } else if (out.size() > before && headTimeout != null) {
            headTimeout.cancel(false);
            headTimeout = null;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("The request has both a length and chunks.");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean oddEncoding = !encodings.isEmpty()
                && !(encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
        boolean oldWithChunks =
                !encodings.isEmpty() && message.protocolVersion().equals(HttpVersion.HTTP_1_0);
        if (oddEncoding || oldWithChunks) {
            throw new IllegalArgumentException("The request's transfer encoding is unclear.");
        }
        return super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        if (headTimeout != null) {
            headTimeout.cancel(false);
        }
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
        }
        super.handlerRemoved0(context);
    }
}
