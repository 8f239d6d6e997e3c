package org.fuchsiatrail.wire.forwarding;

import java.util.Map;
import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * Discards responses of an upstream that answer no waiting request: those on an idle connection, and those to another
 * request that arrive where the answer is expected. The request goes on waiting, since its answer may follow until its
 * deadline.
 */
final class UpstreamAnswerFilter extends ChannelInboundHandlerAdapter {

    /** The maximum size of the body of a discarded response, in bytes; its connection is closed beyond that. */
    private static final int MAXIMUM_DISCARDED_BYTES = 1024 * 1024;

    /** The most responses in a row that are discarded; their connection is closed beyond that. */
    private static final int MAXIMUM_DISCARDED_RESPONSES = 100;

    private final CallDialect dialect;
    private final RouterMetrics metrics;
    private boolean discarding;
    private long discardedBytes;
    private int discardedResponses;

    private UpstreamAnswerFilter(CallDialect dialect, RouterMetrics metrics) {
        this.dialect = dialect;
        this.metrics = metrics;
    }

    /** Filters what arrives on a connection of the HTTP client. */
    static void install(Channel connection, CallDialect dialect, RouterMetrics metrics) {
        connection.pipeline().addFirst(new TransferredBytes());
        connection
                .pipeline()
                .addBefore(ChannelManager.AHC_HTTP_HANDLER, null, new UpstreamAnswerFilter(dialect, metrics));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        UpstreamConnection connection = UpstreamConnection.of(context.channel());
        if (connection.isIdle()) {
            reportOnIdleConnection(context.channel(), connection, (HttpObject) message);
            discard(context.channel(), message);
            return;
        }
        if (message instanceof HttpResponse response) {
            discarding = answersAnotherRequest(connection, response);
            if (discarding && context.channel().isOpen()) {
                reportMismatch(context.channel(), connection, response);
            } else if (!discarding) {
                discardedResponses = 0;
                connection.setResponse(response);
            }
        }
        if (discarding) {
            discard(context.channel(), message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void discard(Channel channel, Object message) {
        if (message instanceof HttpResponse) {
            discardedBytes = 0;
            discardedResponses++;
        }
        if (message instanceof HttpContent content) {
            discardedBytes += content.content().readableBytes();
        }
        ReferenceCountUtil.release(message);
        boolean unreadable =
                message instanceof HttpObject part && part.decoderResult().isFailure();
        if (unreadable
                || discardedBytes > MAXIMUM_DISCARDED_BYTES
                || discardedResponses > MAXIMUM_DISCARDED_RESPONSES) {
            channel.close();
        }
    }

    private void reportOnIdleConnection(Channel channel, UpstreamConnection connection, HttpObject message) {
        if (message instanceof HttpResponse response && channel.isOpen()) {
            metrics.count("connections.unexpected-responses", 1);
            LogLines.info(
                    "upstreams",
                    "Response received on an idle connection; discarded.",
                    Map.of(
                            "address",
                            String.valueOf(channel.remoteAddress()),
                            "answered",
                            dialect.answeredAttemptId(response.headers()).orElse(""),
                            "status",
                            response.status().code()));
        }
        connection.setInsideResponse(!(message instanceof LastHttpContent));
    }

    private boolean answersAnotherRequest(UpstreamConnection connection, HttpResponse response) {
        Optional<String> answered = dialect.answeredAttemptId(response.headers());
        return answered.isPresent()
                && !answered.equals(connection.currentRequest())
                && response.decoderResult().isSuccess();
    }

    private void reportMismatch(Channel channel, UpstreamConnection connection, HttpResponse head) {
        metrics.count("connections.mismatched-responses", 1);
        LogLines.info(
                "upstreams",
                "Response to another request received; awaiting the answer.",
                Map.of(
                        "address",
                        String.valueOf(channel.remoteAddress()),
                        "request",
                        connection.currentRequest().orElse(""),
                        "answered",
                        dialect.answeredAttemptId(head.headers()).orElse(""),
                        "status",
                        head.status().code()));
    }
}
