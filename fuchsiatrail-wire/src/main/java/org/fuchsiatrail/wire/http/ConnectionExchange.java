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

/** The exchange at the head of a connection's queue; its answer may come from any thread. */
final class ConnectionExchange implements HttpExchange {

    private final ChannelHandlerContext context;
    private final String method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final QueryStringDecoder query;
    private final boolean keepAlive;
    private final BooleanSupplier closing;
    private final Runnable next;
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile Runnable closeAction = () -> {};
    private boolean closeAtEnd;

    ConnectionExchange(ChannelHandlerContext context, FullHttpRequest request, BooleanSupplier closing, Runnable next) {
        this.context = context;
        this.method = request.method().name();
        this.uri = request.uri();
        this.headers = request.headers();
        this.body = ByteBufUtil.getBytes(request.content());
        this.query = new QueryStringDecoder(request.uri());
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.closing = closing;
        this.next = next;
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
    public Optional<String> parameter(String name) {
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
    public void respond(int status, Map<String, String> named, byte[] bytes) {
        respond(status, headersOf(named), bytes);
    }

    @Override
    public void respond(int status, HttpHeaders answerHeaders, byte[] bytes) {
        if (!over.compareAndSet(false, true)) {
            return;
        }
        onLoop(() -> {
            ByteBuf content = Unpooled.wrappedBuffer(bytes);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            response.headers().set(answerHeaders);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            markClose(response.headers());
            write(response);
        });
    }

    @Override
    public void begin(int status, Map<String, String> named) {
        begin(status, headersOf(named));
    }

    @Override
    public void begin(int status, HttpHeaders answerHeaders) {
        onLoop(() -> {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(answerHeaders);
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            HttpUtil.setTransferEncodingChunked(response, true);
            markClose(response.headers());
            context.writeAndFlush(response);
        });
    }

    private static HttpHeaders headersOf(Map<String, String> named) {
        HttpHeaders headers = new DefaultHttpHeaders();
        named.forEach(headers::set);
        return headers;
    }

    private void markClose(HttpHeaders answerHeaders) {
        closeAtEnd = !keepAlive || closing.getAsBoolean();
        if (closeAtEnd) {
            answerHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes the last message of the answer. */
    private void write(Object last) {
        if (closeAtEnd) {
            context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.writeAndFlush(last);
            next.run();
        }
    }

    @Override
    public void send(byte[] bytes) {
        onLoop(() -> {
            if (!over.get()) {
                context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            }
        });
    }

    @Override
    public void end() {
        onLoop(() -> {
            if (over.compareAndSet(false, true)) {
                write(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        });
    }

    @Override
    public void abort() {
        over.set(true);
        context.close();
    }

    @Override
    public long unsentBytes() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    @Override
    public void onClose(Runnable action) {
        closeAction = action;
        if (!context.channel().isActive()) {
            closed();
        }
    }

    void closed() {
        if (over.compareAndSet(false, true)) {
            closeAction.run();
        }
    }

    private void onLoop(Runnable action) {
        if (context.executor().inEventLoop()) {
            action.run();
        } else {
            context.executor().execute(action);
        }
    }
}
