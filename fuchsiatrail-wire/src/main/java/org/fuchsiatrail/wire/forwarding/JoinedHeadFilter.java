package org.fuchsiatrail.wire.forwarding;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * Closes a connection on which the head of a response begins inside another head that was not written to its end. Read
 * as one head, they have the status of the first and the headers and body of the second.
 */
final class JoinedHeadFilter extends ChannelInboundHandlerAdapter {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

    private final RouterMetrics metrics;
    private boolean closed;

    private JoinedHeadFilter(RouterMetrics metrics) {
        this.metrics = metrics;
    }

    /** Filters what arrives on a connection of the HTTP client; to be installed before filters that judge a status. */
    static void install(Channel connection, RouterMetrics metrics) {
        connection.pipeline().addBefore(ChannelManager.AHC_HTTP_HANDLER, null, new JoinedHeadFilter(metrics));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!closed && message instanceof HttpResponse response && containsStatusLine(response)) {
            closed = true;
            metrics.count("connections.joined-heads", 1);
            LogLines.info(
                    "upstreams",
                    "Head of a response received inside another one; connection closed.",
                    Map.of(
                            "address",
                            String.valueOf(context.channel().remoteAddress()),
                            "request",
                            UpstreamConnection.of(context.channel())
                                    .currentRequest()
                                    .orElse(""),
                            "status",
                            response.status().code()));
            context.close();
        }
        if (closed) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private static boolean containsStatusLine(HttpResponse response) {
        if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (STATUS_LINE.matcher(header.getKey()).find()
                    || STATUS_LINE.matcher(header.getValue()).find()) {
                return true;
            }
        }
        return false;
    }
}
