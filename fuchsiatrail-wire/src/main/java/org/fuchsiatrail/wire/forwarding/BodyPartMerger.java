package org.fuchsiatrail.wire.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.asynchttpclient.netty.channel.ChannelManager;

/**
 * Merges the parts of a response body that arrive in one read. A part costs a tick of the core, and a read may contain
 * thousands of chunks.
 */
final class BodyPartMerger extends ChannelInboundHandlerAdapter {

    private ByteBuf merged;

    private BodyPartMerger() {}

    /** Merges what arrives on a connection of the HTTP client. */
    static void install(Channel connection) {
        connection.pipeline().addBefore(ChannelManager.AHC_HTTP_HANDLER, null, new BodyPartMerger());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        boolean mergeable = message instanceof HttpContent content
                && !(message instanceof LastHttpContent)
                && !(message instanceof HttpResponse)
                && content.decoderResult().isSuccess();
        if (!mergeable) {
            passOn(context);
            context.fireChannelRead(message);
            return;
        }
        ByteBuf part = ((HttpContent) message).content();
        merged = merged == null ? part : ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(context.alloc(), merged, part);
    }

    private void passOn(ChannelHandlerContext context) {
        if (merged != null) {
            ByteBuf content = merged;
            merged = null;
            context.fireChannelRead(new DefaultHttpContent(content));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passOn(context);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (merged != null) {
            merged.release();
            merged = null;
        }
    }
}
