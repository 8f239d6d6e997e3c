package org.fuchsiatrail.wire.forwarding;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.asynchttpclient.netty.channel.ChannelManager;

/**
 * Drops interim responses (1xx) of an upstream, which the HTTP client would take for the answer to its request. Closes
 * a connection on which they do not end.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {

    /** The most interim responses before one final response. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 100;

    private boolean dropping;
    private int interimResponses;

    private InterimResponseFilter() {}

    /** Filters what arrives on a connection of the HTTP client. */
    static void install(Channel connection) {
        connection.pipeline().addBefore(ChannelManager.AHC_HTTP_HANDLER, null, new InterimResponseFilter());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            dropping = isDropped(response.status());
            interimResponses = isInterim(response.status()) ? interimResponses + 1 : 0;
        }
        if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
            ReferenceCountUtil.release(message);
            context.close();
            return;
        }
        if (!dropping || !(message instanceof HttpObject)) {
            context.fireChannelRead(message);
            return;
        }
        dropping = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
        context.read();
    }

    private static boolean isInterim(HttpResponseStatus status) {
        return HttpStatusClass.INFORMATIONAL.contains(status.code());
    }

    /** The HTTP client itself handles 100; 101 ends the use of HTTP on the connection. */
    private static boolean isDropped(HttpResponseStatus status) {
        return isInterim(status)
                && !status.equals(HttpResponseStatus.CONTINUE)
                && !status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }
}
