package org.fuchsiatrail.wire.forwarding;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.fuchsiatrail.forwarding.AttemptEvent;

/**
 * One attempt at one upstream: collects a plain answer whole, or a stream event by event.
 *
 * <p>Runs on the event loop. Nothing of an answer reaches the caller before {@link #deliverTo} is called.
 */
final class UpstreamAttempt implements AsyncHandler<Void> {

    /** The largest plain answer that is collected. */
    private static final int LONGEST_ANSWER_BYTES = 16 * 1024 * 1024;

    private static final String EVENT_STREAM = "text/event-stream";

    private final CallDialect dialect;
    private final String callerAttempt;
    private final boolean wantsStream;
    private final Consumer<AttemptEvent> listener;
    private final EventStreamSplitter splitter = new EventStreamSplitter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Queue<EventStreamSplitter.Event> undelivered = new ArrayDeque<>();
    private int status;
    private HttpHeaders headers = new DefaultHttpHeaders();
    private boolean connected;
    private boolean sent;
    private boolean started;
    private boolean complete;
    private boolean over;
    private CallerAnswer caller;

    UpstreamAttempt(CallDialect dialect, String callerAttempt, boolean wantsStream, Consumer<AttemptEvent> listener) {
        this.dialect = dialect;
        this.callerAttempt = callerAttempt;
        this.wantsStream = wantsStream;
        this.listener = listener;
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connection) {
        connected = true;
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        connected = true;
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        sent = true;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        status = received.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders received) {
        headers = received;
        return State.CONTINUE;
    }

    private boolean streams() {
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return wantsStream && status == 200 && type != null && type.startsWith(EVENT_STREAM);
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        if (over) {
            return State.ABORT;
        }
        byte[] bytes = part.getBodyPartBytes();
        if (!streams()) {
            body.writeBytes(bytes);
            return body.size() > LONGEST_ANSWER_BYTES ? lose("the answer is too long") : State.CONTINUE;
        }
        List<EventStreamSplitter.Event> events;
        try {
            events = splitter.take(bytes);
        } catch (IllegalArgumentException e) {
            return lose(e.getMessage());
        }
        for (EventStreamSplitter.Event event : events) {
            take(event);
            if (over) {
                return State.ABORT;
            }
        }
        return State.CONTINUE;
    }

    private void take(EventStreamSplitter.Event event) {
        if (caller != null) {
            if (!caller.sendEvent(event)) {
                lose("the caller reads too slowly");
                return;
            }
            listener.accept(new AttemptEvent.Progressed(caller.lastEvent()));
            return;
        }
        undelivered.add(event);
        if (!started) {
            started = true;
            listener.accept(new AttemptEvent.Started(head(), event.id()));
        }
    }

    private AttemptEvent.Head head() {
        return dialect.readHead(status, headers, callerAttempt);
    }

    private State lose(String reason) {
        finish(lost(reason));
        return State.ABORT;
    }

    private AttemptEvent.Lost lost(String reason) {
        return new AttemptEvent.Lost(sent, connected, caller == null ? "" : caller.lastEvent(), reason);
    }

    @Override
    public void onThrowable(Throwable cause) {
        finish(lost(String.valueOf(cause.getMessage())));
    }

    @Override
    public Void onCompleted() {
        if (over) {
            return null;
        }
        complete = true;
        if (!started) {
            finish(new AttemptEvent.Answered(head()));
        } else if (splitter.inEvent()) {
            finish(lost("the stream ended inside an event"));
        } else {
            if (caller != null) {
                caller.endStream();
            }
            finish(new AttemptEvent.Finished());
        }
        return null;
    }

    private void finish(AttemptEvent event) {
        if (!over) {
            over = true;
            listener.accept(event);
        }
    }

    /** Passes the answer on, and all that follows of a stream. */
    void deliverTo(CallerAnswer answer) {
        caller = answer;
        if (!started) {
            caller.whole(status, headers, body.toByteArray());
            return;
        }
        caller.beginStream(status, headers);
        while (!undelivered.isEmpty()) {
            caller.sendEvent(undelivered.poll());
        }
        if (complete) {
            caller.endStream();
        }
    }

    /** Tells whether a plain answer was passed on, after which nothing follows. */
    boolean answered() {
        return caller != null && !started;
    }

    /** Ignores whatever comes from now on. */
    void cancelled() {
        over = true;
    }
}
