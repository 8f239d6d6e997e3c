package org.fuchsiatrail.wire.peer;

import java.nio.ByteOrder;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/** Divides a connection into frames whose size limit can change. */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {

    private int maximumFrameBytes;

    PeerFrameDecoder(int maximumFrameBytes) {
        super(
                PeerTransport.MAXIMUM_FRAME_BYTES,
                0,
                PeerTransport.LENGTH_FIELD_BYTES,
                0,
                PeerTransport.LENGTH_FIELD_BYTES);
        this.maximumFrameBytes = maximumFrameBytes;
    }

    /** Sets the limit of the frames that follow. */
    void setMaximumFrameBytes(int bytes) {
        maximumFrameBytes = bytes;
    }

    @Override
    protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
        long frameBytes = super.getUnadjustedFrameLength(buffer, offset, length, order);
        if (frameBytes > maximumFrameBytes) {
            throw new TooLongFrameException("frame of " + frameBytes + " bytes, " + maximumFrameBytes + " allowed");
        }
        return frameBytes;
    }
}
