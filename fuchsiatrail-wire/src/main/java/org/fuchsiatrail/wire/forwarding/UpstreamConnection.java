package org.fuchsiatrail.wire.forwarding;

import java.util.Arrays;
import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.Attribute;
import io.netty.util.AttributeKey;

/** The requests that a connection to an upstream has carried, and whether it is idle. Used on the event loop only. */
final class UpstreamConnection {

    /** Bounds the memory for the requests of a connection, which is closed after so many. */
    static final int MAXIMUM_REQUESTS = 1_000;

    private static final int INITIAL_CAPACITY = 16;

    private static final AttributeKey<UpstreamConnection> ATTRIBUTE =
            AttributeKey.valueOf(UpstreamConnection.class, "connection");

    private int[] requestHashes = new int[INITIAL_CAPACITY];
    private int requestCount;
    private Optional<String> currentRequest = Optional.empty();
    private boolean idle;
    private boolean insideResponse;
    private boolean reading;
    private int unwrittenMessages;
    private long requestBytes;
    private boolean endsWithConnection;
    private boolean readFailed;

    private UpstreamConnection() {}

    /** Returns what is known of a connection. */
    static UpstreamConnection of(Channel channel) {
        Attribute<UpstreamConnection> attribute = channel.attr(ATTRIBUTE);
        UpstreamConnection connection = attribute.get();
        if (connection == null) {
            connection = new UpstreamConnection();
            attribute.set(connection);
        }
        return connection;
    }

    /** Records that a request is sent over the connection. */
    void recordRequest(String callerAttemptId) {
        if (requestCount == requestHashes.length) {
            requestHashes = Arrays.copyOf(requestHashes, 2 * requestCount);
        }
        requestHashes[requestCount++] = callerAttemptId.hashCode();
        currentRequest = Optional.of(callerAttemptId);
        beginRequest();
    }

    /** Returns whether the request was sent over the connection before; at times also for another request. */
    boolean hasCarried(String callerAttemptId) {
        int hash = callerAttemptId.hashCode();
        for (int index = 0; index < requestCount; index++) {
            if (requestHashes[index] == hash) {
                return true;
            }
        }
        return false;
    }

    boolean mayCarryAnotherRequest() {
        return requestCount < MAXIMUM_REQUESTS;
    }

    /** Returns the caller's id of the request that waits for its answer; empty if no caller's request does. */
    Optional<String> currentRequest() {
        return currentRequest;
    }

    void setIdle(boolean isIdle) {
        idle = isIdle;
        currentRequest = Optional.empty();
        beginRequest();
    }

    private void beginRequest() {
        requestBytes = 0;
        endsWithConnection = false;
    }

    boolean isIdle() {
        return idle;
    }

    /** Sets whether a response that answers no request has begun and not ended on the idle connection. */
    void setInsideResponse(boolean isInsideResponse) {
        insideResponse = isInsideResponse;
    }

    boolean isInsideResponse() {
        return insideResponse;
    }

    /** Sets whether received bytes are being handled. */
    void setReading(boolean isReading) {
        reading = isReading;
    }

    /** Records the head of the response to the current request. */
    void setResponse(HttpResponse head) {
        int status = head.status().code();
        boolean withoutBody = status < 200 || status == 204 || status == 304;
        endsWithConnection = !withoutBody
                && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && !HttpUtil.isTransferEncodingChunked(head);
    }

    /** Returns whether only the end of the connection ends the response, unless it has no body. */
    boolean endsWithConnection() {
        return endsWithConnection;
    }

    /** Returns the size of what was handed over to be written for the current request, in bytes. */
    long requestBytes() {
        return requestBytes;
    }

    /** Records that a part of a request is handed over to be written. */
    void writeBegun(long bytes) {
        requestBytes += bytes;
        unwrittenMessages++;
    }

    /** Records that a part of a request was written whole; one whose connection ends before is never recorded. */
    void writeEnded() {
        unwrittenMessages--;
    }

    /** Records that the connection failed while it was read. */
    void setReadFailed() {
        readFailed = true;
    }

    /** Returns whether a part of the request has not been written, so that the upstream cannot have read it whole. */
    boolean isRequestUnwritten() {
        return unwrittenMessages > 0;
    }

    /** Returns whether a response that ends with the connection may lack its end. */
    boolean mayBeBrokenOff() {
        return endsWithConnection && (readFailed || isRequestUnwritten());
    }

    /**
     * Reads at once what has arrived on the connection, unless received bytes are being handled: a response or the end
     * of the connection that came while the event loop was busy is not known otherwise.
     */
    void readArrived(Channel channel) {
        if (!reading && channel.isActive() && channel.unsafe() instanceof NioUnsafe unsafe) {
            unsafe.read();
        }
    }
}
