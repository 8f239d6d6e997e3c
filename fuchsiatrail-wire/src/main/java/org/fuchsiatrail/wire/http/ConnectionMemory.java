package org.fuchsiatrail.wire.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.memory.MemoryBudget.State;

/** What one caller's connection keeps, as it is stated to the memory budget. */
final class ConnectionMemory {

    /** What an idle connection keeps, in bytes. */
    private static final long CONNECTION_BYTES = 8 * 1024;

    /** The number of unanswered requests above which no more are read. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 4;

    /** The bytes of unanswered requests above which no second one is read. */
    private static final long MAXIMUM_PIPELINED_BYTES = 64 * 1024;

    private final MemoryBudget.Holding holding;
    private final Channel channel;
    private Runnable refuseReading = () -> {};
    private Runnable goOn = () -> {};
    private long readingBytes;
    private long waitingBytes;
    private long unsentBytes;
    private long writtenMessages;
    private long lastProgress = -1;

    ConnectionMemory(MemoryBudget budget, Channel channel) {
        this.channel = channel;
        this.holding = budget.open(this::stop);
        state();
    }

    /** Sets the action that refuses the request that is being read. */
    void onReadingStopped(Runnable action) {
        refuseReading = action;
    }

    /** Sets the action that goes on with the connection's requests once its caller has read enough. */
    void onOutputRead(Runnable action) {
        goOn = action;
    }

    private void stop() {
        if (readingBytes > unsentBytes) {
            readingBytes = 0;
            refuseReading.run();
        } else {
            channel.close();
        }
    }

    private void state() {
        State state =
                readingBytes > 0 || unsentBytes > 0 ? State.UNFINISHED : waitingBytes > 0 ? State.IN_WORK : State.IDLE;
        holding.keep(CONNECTION_BYTES + readingBytes + waitingBytes + unsentBytes, state);
    }

    /** States what was read of a request that is not complete. */
    void setReading(long bytes) {
        readingBytes = bytes;
        state();
    }

    /** States that a request waits for its response. */
    void requestWaits(long bytes) {
        readingBytes = 0;
        waitingBytes += bytes;
        state();
    }

    /** States that a request waits no longer. */
    void requestEnded(long bytes) {
        waitingBytes -= bytes;
        state();
    }

    /** Returns whether no further request is read until one is answered, or until responses are read. */
    boolean isFull(int waitingRequests) {
        return isOutputFull()
                || waitingRequests > MAXIMUM_PIPELINED_REQUESTS
                || (waitingRequests > 1 && waitingBytes > MAXIMUM_PIPELINED_BYTES);
    }

    /** Returns whether so much of the responses is not read that no further request is begun. */
    boolean isOutputFull() {
        return unsentBytes > MAXIMUM_PIPELINED_BYTES;
    }

    /** States what of the responses the caller has not read, after a message was handed over or written. */
    void outputChanged(boolean written) {
        writtenMessages += written ? 1 : 0;
        boolean wasFull = isOutputFull();
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        unsentBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        state();
        if (wasFull && !isOutputFull()) {
            goOn.run();
        }
    }

    /** Returns whether the caller has read all of the responses, or nothing of them since the last call. */
    boolean isOutputIdle() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        if (buffer == null || buffer.totalPendingWriteBytes() == 0) {
            lastProgress = -1;
            return true;
        }
        long progress = writtenMessages * Integer.MAX_VALUE + buffer.currentProgress();
        boolean idle = progress == lastProgress;
        lastProgress = progress;
        return idle;
    }

    /** Returns whether a response waits for its caller to read it. */
    boolean hasUnsent() {
        return unsentBytes > 0;
    }

    void close() {
        holding.close();
    }
}
