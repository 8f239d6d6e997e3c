package org.fuchsiatrail.wire.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.memory.MemoryBudget.State;

/** What one caller's connection keeps, as it is stated to the memory budget. */
final class ConnectionMemory {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** What an idle connection keeps, in bytes. */
    private static final long CONNECTION_BYTES = 8 * 1024;

    /** The number of unanswered requests above which no more are read. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 4;

    /** The bytes of unanswered requests above which no second one is read. */
    private static final long MAXIMUM_PIPELINED_BYTES = 256 * 1024;

    /** The bytes of unread responses above which no further request is begun. */
    private static final long MAXIMUM_UNSENT_BYTES = 64 * 1024;

    /** The bytes of responses that a caller may leave in the queue of the system without counting. */
    private static final long UNREAD_BYTES = 16 * 1024;

    /** The queue of the system for a stream, so small that a caller which does not read shows within moments. */
    private static final int STREAM_BUFFER_BYTES = 8 * 1024;

    private static final int RESETS = 0;
    private static final int LINGERS = -1;

    private final MemoryBudget budget;
    private final MemoryBudget.Holding holding;
    private final Channel channel;
    /** What each direction may keep in the queues of the system, or 0 for any amount. */
    private final int socketBufferBytes;

    private Runnable refuseReading = () -> {};
    private Runnable goOn = () -> {};
    private long readingBytes;
    private long waitingBytes;
    private long unsentBytes;
    /** The bytes of responses that the caller may not have read, with the unsent ones. */
    private long outputBytes;

    private long reads;
    private long readsAtOutput;
    private boolean readingPaused;
    private boolean resetsAtClose;
    private boolean deliversAtClose;
    private long writtenMessages;
    private long lastProgress = -1;

    ConnectionMemory(MemoryBudget budget, Channel channel) {
        this.budget = budget;
        this.channel = channel;
        this.socketBufferBytes = budget.socketBufferBytes();
        this.holding = budget.openConnection(this::stop, this::closeNow);
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
            closeNow();
        }
    }

    /** Closes the connection and drops what its caller has not read; the system would keep that for minutes. */
    void closeNow() {
        resetAtClose(true);
        channel.close();
    }

    /** Lets the system deliver what the caller has not read when the connection is closed, as the process ends. */
    void deliverAtClose() {
        resetAtClose(false);
        deliversAtClose = true;
    }

    private void resetAtClose(boolean resets) {
        if (resets == resetsAtClose || deliversAtClose || !channel.isOpen()) {
            return;
        }
        resetsAtClose = resets;
        setOption(ChannelOption.SO_LINGER, resets ? RESETS : LINGERS);
    }

    private void setOption(ChannelOption<Integer> option, int value) {
        try {
            channel.config().setOption(option, value);
        } catch (ChannelException e) {
            LOGGER.atFine().log("Option of a connection not set, as its caller has left: %s", e);
        }
    }

    /** States that a stream begins or ends. */
    void streams(boolean begins) {
        if (socketBufferBytes > 0 && channel.isOpen()) {
            setOption(ChannelOption.SO_SNDBUF, begins ? STREAM_BUFFER_BYTES : socketBufferBytes);
        }
    }

    private void state() {
        long queuedBytes = queuedOutputBytes();
        resetAtClose(queuedBytes > 0);
        State state = readingBytes > 0 || unsentBytes > 0 || queuedBytes > 0
                ? State.UNFINISHED
                : waitingBytes > 0 ? State.IN_WORK : State.IDLE;
        long pausedBytes = readingPaused ? socketBufferBytes : 0;
        holding.keep(CONNECTION_BYTES + readingBytes + pausedBytes + waitingBytes + unsentBytes + queuedBytes, state);
    }

    /**
     * Returns what of the responses stands in the queue of the system, which does not tell. The queue is full if bytes
     * are unsent; a caller that waits for the next events of a stream has read the earlier ones.
     */
    private long queuedOutputBytes() {
        if (unsentBytes > 0) {
            return socketBufferBytes;
        }
        return waitingBytes > 0 || outputBytes <= UNREAD_BYTES ? 0 : Math.min(outputBytes, socketBufferBytes);
    }

    /** Returns whether responses may stand in the queue of the system that the caller has not read. */
    boolean isOutputQueued() {
        return queuedOutputBytes() > 0;
    }

    /** States that what had arrived on the connection was read. */
    void readCompleted() {
        reads++;
    }

    /** States that a request begins; a caller that sent it after the last response has read that. */
    void requestBegins() {
        if (unsentBytes == 0 && readsAtOutput < reads) {
            outputBytes = 0;
        }
    }

    /** States whether bytes that arrive are left in the queue of the system. */
    void setReadingPaused(boolean paused) {
        if (paused != readingPaused) {
            readingPaused = paused;
            state();
        }
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

    /** Returns whether a complete request that keeps this many bytes may be begun. */
    boolean canTake(long bytes) {
        return budget.canTake(bytes);
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
        return unsentBytes > MAXIMUM_UNSENT_BYTES;
    }

    /** States that a part of a response was handed over. */
    void outputAdded(long bytes) {
        outputBytes += bytes;
        readsAtOutput = reads;
        outputChanged();
    }

    /** States that a part of a response was written, or cannot be. */
    void outputWritten() {
        writtenMessages++;
        outputChanged();
    }

    private void outputChanged() {
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
