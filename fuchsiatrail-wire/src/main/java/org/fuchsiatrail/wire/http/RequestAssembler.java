package org.fuchsiatrail.wire.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.fuchsiatrail.wire.memory.MemoryBudget;

/**
 * Gathers each request with its body. The body is copied to the heap as it arrives, so that the buffers of the
 * connection's reads are free at once, whatever the size of the pieces.
 */
final class RequestAssembler extends ChannelInboundHandlerAdapter {

    private static final int SMALLEST_SEGMENT = 512;

    private final MemoryBudget budget;
    private HttpRequest head;
    private DecoderResult failure;
    private List<byte[]> segments = new ArrayList<>();
    /** The bytes used in the last segment. */
    private int used;

    private int bodyBytes;

    RequestAssembler(MemoryBudget budget) {
        this.budget = budget;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                drop();
                head = request;
            }
            if (head != null) {
                gather(context, message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void gather(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpContent content) {
            append(content.content());
            if (content.decoderResult().isFailure()) {
                failure = content.decoderResult();
            }
        } else if (head.decoderResult().isFailure()) {
            failure = head.decoderResult();
        }
        if (failure != null || message instanceof LastHttpContent) {
            complete(context);
        }
    }

    private void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (segments.isEmpty() || used == segments.get(segments.size() - 1).length) {
                int size = Math.max(SMALLEST_SEGMENT, Math.max(bodyBytes, bytes.readableBytes()));
                segments.add(size < MemoryBudget.SEGMENT_BYTES ? new byte[size] : budget.takeSegment());
                used = 0;
            }
            byte[] last = segments.get(segments.size() - 1);
            int count = Math.min(bytes.readableBytes(), last.length - used);
            bytes.readBytes(last, used, count);
            used += count;
            bodyBytes += count;
        }
    }

    private void complete(ChannelHandlerContext context) {
        HttpUtil.setTransferEncodingChunked(head, false);
        if (!head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(bodyBytes));
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                Unpooled.wrappedBuffer(joined()),
                head.headers(),
                new DefaultHttpHeaders());
        request.setDecoderResult(failure == null ? head.decoderResult() : failure);
        drop();
        context.fireChannelRead(request);
    }

    private byte[] joined() {
        byte[] body = new byte[bodyBytes];
        int position = 0;
        for (byte[] segment : segments) {
            int count = Math.min(segment.length, bodyBytes - position);
            System.arraycopy(segment, 0, body, position, count);
            position += count;
        }
        return body;
    }

    /** Drops what was gathered of a request that is refused. */
    private void drop() {
        head = null;
        failure = null;
        for (byte[] segment : segments) {
            if (segment.length == MemoryBudget.SEGMENT_BYTES) {
                budget.returnSegment(segment);
            }
        }
        segments = new ArrayList<>(0);
        used = 0;
        bodyBytes = 0;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof CallerInput.Refused) {
            drop();
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        drop();
        context.fireChannelInactive();
    }
}
