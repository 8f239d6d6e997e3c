package org.fuchsiatrail.wire.forwarding;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.memory.MemoryBudget;

/**
 * The HTTP response handler of one attempt at an upstream. It collects a plain response as a whole, and splits a stream
 * into events. A response to another request ends the attempt and closes the connection, whatever it says.
 *
 * <p>Runs on the event loop. No part of a response reaches the caller before {@link #deliverTo} is called.
 */
final class UpstreamAttempt implements AsyncHandler<Void> {

    /** The maximum size of the body of a response, in bytes; a longer one does not end. */
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

    /** How often a caller that reads slowly is asked for, in milliseconds. */
    private static final long SLOW_CALLER_CHECK_MILLIS = 100;

    private static final String EVENT_STREAM = "text/event-stream";

    private final CallDialect dialect;
    private final String callerAttemptId;
    private final boolean streamingRequested;
    private final Consumer<AttemptEvent> listener;
    private final EventLoop eventLoop;
    private final MemoryBudget.Holding holding;
    private final EventStreamSplitter splitter = new EventStreamSplitter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Queue<EventStreamSplitter.Events> undelivered = new ArrayDeque<>();
    private long receivedBytes;
    private int status;
    private HttpHeaders headers = new DefaultHttpHeaders();
    private boolean connected;
    private boolean requestSent;
    private boolean answersThisRequest;
    private boolean streamStarted;
    private boolean responseComplete;
    private boolean finished;
    private boolean held;
    private Channel connection;
    private CallerResponse callerResponse;

    UpstreamAttempt(
            CallDialect dialect,
            String callerAttemptId,
            boolean streamingRequested,
            MemoryBudget memory,
            EventLoop eventLoop,
            Consumer<AttemptEvent> listener) {
        this.dialect = dialect;
        this.callerAttemptId = callerAttemptId;
        this.streamingRequested = streamingRequested;
        this.eventLoop = eventLoop;
        this.holding = memory.open(this::stop);
        this.listener = listener;
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel channel) {
        connected = true;
        connection = channel;
        UpstreamConnection.of(channel).recordRequest(callerAttemptId);
    }

    @Override
    public void onConnectionPooled(Channel channel) {
        connected = true;
        connection = channel;
        UpstreamConnection.of(channel).recordRequest(callerAttemptId);
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        requestSent = true;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        status = received.getStatusCode();
        return HttpExchange.isFinalStatus(status)
                ? State.CONTINUE
                : abortAsLost("HTTP status " + status + " ends no request");
    }

    @Override
    public State onHeadersReceived(HttpHeaders received) {
        headers = received;
        Optional<String> answeredAttemptId = dialect.answeredAttemptId(received);
        answersThisRequest = answeredAttemptId.equals(Optional.of(callerAttemptId));
        return answersThisRequest ? State.CONTINUE : abortAsMismatched(answeredAttemptId.orElse(""));
    }

    private State abortAsMismatched(String answeredAttemptId) {
        finish(new AttemptEvent.Mismatched(answeredAttemptId));
        return State.ABORT;
    }

    private boolean isEventStream() {
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return streamingRequested && status == 200 && type != null && type.startsWith(EVENT_STREAM);
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        if (finished) {
            return State.ABORT;
        }
        // The end of a response whose head arrived before this request was sent.
        if (!answersThisRequest) {
            return abortAsMismatched("");
        }
        byte[] bytes = part.getBodyPartBytes();
        receivedBytes += bytes.length;
        if (receivedBytes > MAXIMUM_RESPONSE_BYTES) {
            return abortAsLost("the response exceeds the size limit");
        }
        if (!isEventStream()) {
            body.writeBytes(bytes);
            holding.keep(body.size(), MemoryBudget.State.UNFINISHED);
            return State.CONTINUE;
        }
        try {
            splitter.append(bytes).ifPresent(this::handleEvents);
        } catch (IllegalArgumentException e) {
            return abortAsLost(e.getMessage());
        }
        return finished ? State.ABORT : State.CONTINUE;
    }

    private void handleEvents(EventStreamSplitter.Events events) {
        if (callerResponse != null) {
            if (!callerResponse.sendEvents(events)) {
                holdReading();
            }
            listener.accept(new AttemptEvent.Progressed(callerResponse.lastEventId()));
            return;
        }
        undelivered.add(events);
        if (!streamStarted) {
            streamStarted = true;
            listener.accept(new AttemptEvent.Started(head(), events.id()));
        }
    }

    /** Leaves the rest of the stream unread until the caller has read more. */
    private void holdReading() {
        if (!held && connection != null) {
            held = true;
            ReadRateLimiter.hold(connection, true);
            eventLoop.schedule(this::readOnIfCaughtUp, SLOW_CALLER_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void readOnIfCaughtUp() {
        if (!held) {
            return;
        }
        if (finished || callerResponse.hasCaughtUp()) {
            readOn();
        } else {
            // The upstream is not silent; its stream is not read.
            listener.accept(new AttemptEvent.Progressed(callerResponse.lastEventId()));
            eventLoop.schedule(this::readOnIfCaughtUp, SLOW_CALLER_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void readOn() {
        if (held) {
            held = false;
            ReadRateLimiter.hold(connection, false);
        }
    }

    /** Gives up the response, since the memory is needed; later, as a response may be handled now. */
    private void stop() {
        eventLoop.execute(() -> {
            if (!finished) {
                abortAsLost("the response was given up for want of memory");
            }
        });
    }

    /** States that nothing of the response is kept any more. */
    void releaseMemory() {
        holding.close();
    }

    private AttemptEvent.Head head() {
        return dialect.parseHead(status, headers);
    }

    private State abortAsLost(String reason) {
        finish(lostEvent(reason));
        return State.ABORT;
    }

    private AttemptEvent.Lost lostEvent(String reason) {
        return new AttemptEvent.Lost(
                requestSent, connected, callerResponse == null ? "" : callerResponse.lastEventId(), reason);
    }

    @Override
    public void onThrowable(Throwable cause) {
        String reason = String.valueOf(cause.getMessage());
        boolean refused = !requestSent && !connected && ConnectionFailures.isRefused(cause);
        finish(refused ? AttemptEvent.Lost.refused(reason) : lostEvent(reason));
    }

    @Override
    public Void onCompleted() {
        readOn();
        if (finished) {
            return null;
        }
        if (mayBeBrokenOff()) {
            finish(lostEvent("the connection ended before the request was written, or failed"));
            return null;
        }
        responseComplete = true;
        if (isEventStream() && !streamStarted) {
            finish(lostEvent("the stream ended before its first event was complete"));
        } else if (!streamStarted) {
            finish(new AttemptEvent.Answered(head()));
        } else if (splitter.hasPartialEvent()) {
            finish(lostEvent("the stream ended inside an event"));
        } else {
            if (callerResponse != null) {
                callerResponse.endStream(splitter.emptyLinesAtEnd());
            }
            finish(new AttemptEvent.Finished());
        }
        return null;
    }

    /**
     * Returns whether only the end of the connection ended the response, although the upstream has not read its request
     * whole, or the connection failed. The head alone tells that a request was not executed.
     */
    private boolean mayBeBrokenOff() {
        return connection != null
                && !connection.isActive()
                && UpstreamConnection.of(connection).mayBeBrokenOff()
                && !head().notExecuted();
    }

    private void finish(AttemptEvent event) {
        if (!finished) {
            finished = true;
            holding.keep(body.size(), MemoryBudget.State.IN_WORK);
            listener.accept(event);
        }
    }

    /** Forwards the response to the caller; of a stream, the events received so far and all that follow. */
    void deliverTo(CallerResponse response) {
        callerResponse = response;
        if (!streamStarted) {
            callerResponse.sendPlain(status, headers, body.toByteArray());
            return;
        }
        callerResponse.beginStream(status, headers);
        while (!undelivered.isEmpty()) {
            callerResponse.sendEvents(undelivered.poll());
        }
        if (responseComplete) {
            callerResponse.endStream(splitter.emptyLinesAtEnd());
        }
    }

    /** Returns whether the whole response was delivered, after which nothing follows. */
    boolean deliveryComplete() {
        return callerResponse != null && (!streamStarted || responseComplete);
    }

    /** Returns whether the request has not been sent yet, for example because no connection is established. */
    boolean isWaitingToSend() {
        return !requestSent && !finished;
    }

    /** Ignores all further events of the attempt, because it was cancelled. */
    void ignoreFurtherEvents() {
        finished = true;
    }
}
