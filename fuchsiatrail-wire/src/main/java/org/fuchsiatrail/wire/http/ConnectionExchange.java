package org.fuchsiatrail.wire.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * The exchange whose response a connection sends next. The methods that send the response may be called from any
 * thread.
 */
final class ConnectionExchange implements HttpExchange {

    private final ChannelHandlerContext context;
    private final String method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final QueryStringDecoder query;
    private final boolean keepAlive;
    private final BooleanSupplier closeRequested;
    private final Runnable onFinished;
    private final AtomicBoolean finished = new AtomicBoolean();
    private volatile Runnable disconnectAction = () -> {};
    private boolean closeAfterResponse;

    ConnectionExchange(
            ChannelHandlerContext context,
            FullHttpRequest request,
            BooleanSupplier closeRequested,
            Runnable onFinished) {
        this.context = context;
        this.method = request.method().name();
        this.uri = request.uri();
        this.headers = request.headers();
        this.body = ByteBufUtil.getBytes(request.content());
        this.query = new QueryStringDecoder(request.uri());
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.closeRequested = closeRequested;
        this.onFinished = onFinished;
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String path() {
        return query.path();
    }

    @Override
    public String uri() {
        return uri;
    }

    @Override
    public HttpHeaders headers() {
        return headers;
    }

    @Override
    public Optional<String> queryParameter(String name) {
        List<String> values = query.parameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.get(0));
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public void respond(int status, Map<String, String> headerMap, byte[] bytes) {
        respond(status, toHttpHeaders(headerMap), bytes);
    }

    @Override
    public void respond(int status, HttpHeaders responseHeaders, byte[] bytes) {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        runOnEventLoop(() -> {
            ByteBuf content = Unpooled.wrappedBuffer(bytes);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            response.headers().set(responseHeaders);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            setConnectionHeader(response.headers());
            writeLast(response);
        });
    }

    @Override
    public void beginStream(int status, Map<String, String> headerMap) {
        beginStream(status, toHttpHeaders(headerMap));
    }

    @Override
    public void beginStream(int status, HttpHeaders responseHeaders) {
        runOnEventLoop(() -> {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(responseHeaders);
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            HttpUtil.setTransferEncodingChunked(response, true);
            setConnectionHeader(response.headers());
            context.writeAndFlush(response);
        });
    }

    private static HttpHeaders toHttpHeaders(Map<String, String> headerMap) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headerMap.forEach(headers::set);
        return headers;
    }

    private void setConnectionHeader(HttpHeaders responseHeaders) {
        closeAfterResponse = !keepAlive || closeRequested.getAsBoolean();
        if (closeAfterResponse) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes the last message of the response, then closes the connection or goes on with its next request. */
    private void writeLast(Object last) {
        if (closeAfterResponse) {
            context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.writeAndFlush(last);
            onFinished.run();
        }
    }

    @Override
    public void sendChunk(byte[] bytes) {
        runOnEventLoop(() -> {
            if (!finished.get()) {
                context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            }
        });
    }

    @Override
    public void endStream() {
        runOnEventLoop(() -> {
            if (finished.compareAndSet(false, true)) {
                writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        });
    }

    @Override
    public void abort() {
        finished.set(true);
        context.close();
    }

    @Override
    public long unsentBytes() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
        if (!context.channel().isActive()) {
            connectionClosed();
        }
    }

    void connectionClosed() {
        if (finished.compareAndSet(false, true)) {
            disconnectAction.run();
        }
    }

    private void runOnEventLoop(Runnable action) {
        if (context.executor().inEventLoop()) {
            action.run();
        } else {
            context.executor().execute(action);
        }
    }
}
