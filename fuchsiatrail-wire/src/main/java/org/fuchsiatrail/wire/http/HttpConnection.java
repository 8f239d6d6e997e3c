package org.fuchsiatrail.wire.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/** Turns the requests of one connection into exchanges. */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final HttpHandler handler;
    private volatile Exchange current;

    HttpConnection(HttpHandler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            boolean tooLarge = decoded.cause() instanceof TooLongFrameException;
            refuse(context, tooLarge ? 431 : 400);
            return;
        }
        Exchange exchange = new Exchange(context, request);
        current = exchange;
        handler.handle(exchange);
    }

    private static void refuse(ChannelHandlerContext context, int status) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        Exchange exchange = current;
        if (exchange != null) {
            exchange.closed();
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private static final class Exchange implements HttpExchange {
        private final ChannelHandlerContext context;
        private final FullHttpRequest head;
        private final byte[] body;
        private final QueryStringDecoder query;
        private final boolean keepAlive;
        private final AtomicBoolean over = new AtomicBoolean();
        private volatile Runnable closeAction = () -> {};

        Exchange(ChannelHandlerContext context, FullHttpRequest request) {
            this.context = context;
            this.head = request;
            this.body = ByteBufUtil.getBytes(request.content());
            this.query = new QueryStringDecoder(request.uri());
            this.keepAlive = HttpUtil.isKeepAlive(request);
        }

        @Override
        public String method() {
            return head.method().name();
        }

        @Override
        public String path() {
            return query.path();
        }

        @Override
        public String uri() {
            return head.uri();
        }

        @Override
        public Optional<String> parameter(String name) {
            List<String> values = query.parameters().get(name);
            return values == null ? Optional.empty() : Optional.of(values.get(0));
        }

        @Override
        public Optional<String> header(String name) {
            return Optional.ofNullable(head.headers().get(name));
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void respond(int status, Map<String, String> headers, byte[] bytes) {
            if (!over.compareAndSet(false, true)) {
                return;
            }
            ByteBuf content = Unpooled.wrappedBuffer(bytes);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            headers.forEach((name, value) -> response.headers().set(name, value));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            if (keepAlive) {
                context.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void begin(int status, Map<String, String> headers) {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            headers.forEach((name, value) -> response.headers().set(name, value));
            HttpUtil.setTransferEncodingChunked(response, true);
            context.writeAndFlush(response);
        }

        @Override
        public void send(byte[] bytes) {
            if (!over.get()) {
                context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            }
        }

        @Override
        public void end() {
            if (!over.compareAndSet(false, true)) {
                return;
            }
            if (keepAlive) {
                context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            } else {
                context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void abort() {
            context.close();
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
    }
}
