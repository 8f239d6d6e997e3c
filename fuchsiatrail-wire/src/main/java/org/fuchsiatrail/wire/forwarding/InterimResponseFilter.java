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

/** Drops interim responses (1xx) of an upstream, which the HTTP client would take for the answer to its request. */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {

    private boolean dropping;

    private InterimResponseFilter() {}

    /** Filters what arrives on a connection of the HTTP client. */
    static void install(Channel connection) {
        connection.pipeline().addBefore(ChannelManager.AHC_HTTP_HANDLER, null, new InterimResponseFilter());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            dropping = isInterim(response.status());
        }
        if (!dropping || !(message instanceof HttpObject)) {
            context.fireChannelRead(message);
            return;
        }
        dropping = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
        context.read();
    }

    /** The HTTP client itself handles 100; 101 ends the use of HTTP on the connection. */
    private static boolean isInterim(HttpResponseStatus status) {
        return HttpStatusClass.INFORMATIONAL.contains(status.code())
                && !status.equals(HttpResponseStatus.CONTINUE)
                && !status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }
}
