package org.fuchsiatrail.wire.http;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
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

    /** The progress of the response. */
    private enum Progress {
        NOT_ANSWERED,
        /** The head of a streamed response was sent. */
        STREAM_BEGUN,
        /** The response is complete or aborted, or the connection is closed. */
        FINISHED
    }

    private final ChannelHandlerContext context;
    private final HttpConnection connection;
    private final String method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final QueryStringDecoder query;
    private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.NOT_ANSWERED);
    private volatile Runnable disconnectAction = () -> {};
    private boolean closeAfterResponse;

    ConnectionExchange(ChannelHandlerContext context, HttpConnection connection, FullHttpRequest request) {
        this.context = context;
        this.connection = connection;
        this.method = request.method().name();
        this.uri = request.uri();
        this.headers = request.headers();
        this.body = ByteBufUtil.getBytes(
                request.content(),
                request.content().readerIndex(),
                request.content().readableBytes(),
                false);
        this.query = new QueryStringDecoder(request.uri());
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
        boolean withoutBody = method.equals(HttpMethod.HEAD.name());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                finalStatus(status),
                withoutBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes));
        copyValidated(responseHeaders, response.headers());
        if (!withoutBody || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        Progress before = progress.getAndSet(Progress.FINISHED);
        if (before == Progress.STREAM_BEGUN) {
            context.close();
        } else if (before == Progress.NOT_ANSWERED) {
            runOnEventLoop(() -> connection.decideWhetherLast(last -> {
                setConnectionHeader(response.headers(), last);
                writeLast(response);
            }));
        }
    }

    @Override
    public void beginStream(int status, Map<String, String> headerMap) {
        beginStream(status, toHttpHeaders(headerMap));
    }

    @Override
    public void beginStream(int status, HttpHeaders responseHeaders) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, finalStatus(status));
        copyValidated(responseHeaders, response.headers());
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(response, true);
        if (progress.compareAndSet(Progress.NOT_ANSWERED, Progress.STREAM_BEGUN)) {
            runOnEventLoop(() -> {
                setConnectionHeader(response.headers(), connection.endsWithStream());
                connection.memory().streams(true);
                write(response);
            });
        }
    }

    private static HttpResponseStatus finalStatus(int status) {
        if (!HttpExchange.isFinalStatus(status)) {
            throw new IllegalArgumentException("HTTP status " + status + " ends no request");
        }
        return HttpResponseStatus.valueOf(status);
    }

    /** Adds the headers one by one, since only that checks them, whatever the source allows. */
    private static void copyValidated(HttpHeaders source, HttpHeaders target) {
        source.forEach(header -> target.add(header.getKey(), header.getValue()));
    }

    private static HttpHeaders toHttpHeaders(Map<String, String> headerMap) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headerMap.forEach(headers::set);
        return headers;
    }

    private void setConnectionHeader(HttpHeaders responseHeaders, boolean last) {
        closeAfterResponse = last;
        if (closeAfterResponse) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes the last message of the response, then closes the connection or goes on with its next request. */
    private void writeLast(Object last) {
        ChannelFuture written = write(last).addListener(done -> connection.responseWritten());
        if (closeAfterResponse) {
            written.addListener(done -> connection.closeOutput(context));
        } else {
            connection.startNext(context, written);
        }
    }

    /** Writes a message; closes the connection if that fails, since the caller cannot make out a response then. */
    private ChannelFuture write(Object message) {
        long bytes = message instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
        ChannelFuture future = context.writeAndFlush(message);
        connection.memory().outputAdded(bytes);
        return future.addListener((ChannelFutureListener) written -> {
            connection.memory().outputWritten();
            if (written.isSuccess()) {
                return;
            }
            if (!(written.cause() instanceof IOException)) {
                connection
                        .handler()
                        .connectionFailed("Response could not be written; its connection is closed.", written.cause());
            }
            written.channel().close();
        });
    }

    @Override
    public void sendChunk(byte[] bytes) {
        runOnEventLoop(() -> {
            if (progress.get() == Progress.STREAM_BEGUN) {
                write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            }
        });
    }

    @Override
    public void endStream() {
        runOnEventLoop(() -> {
            if (progress.compareAndSet(Progress.STREAM_BEGUN, Progress.FINISHED)) {
                connection.memory().streams(false);
                writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        });
    }

    @Override
    public void abort() {
        progress.set(Progress.FINISHED);
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
        if (progress.getAndSet(Progress.FINISHED) == Progress.FINISHED) {
            return;
        }
        try {
            disconnectAction.run();
        } catch (RuntimeException | Error e) {
            connection.handler().connectionFailed("End of a caller's connection could not be handled.", e);
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
