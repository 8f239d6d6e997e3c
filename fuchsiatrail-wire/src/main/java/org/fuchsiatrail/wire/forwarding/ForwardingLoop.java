package org.fuchsiatrail.wire.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.uri.Uri;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.http.HttpHandler;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.fuchsiatrail.wire.peer.PeerTransport;

/**
 * Drives a forwarding core on one event loop: feeds it what happens, does what it wants, and wakes it when it is due.
 *
 * <p>Everything but {@link #stop} must be called on the event loop.
 */
public final class ForwardingLoop implements HttpHandler {

    /** A difference between the steady clock and the time of day that counts as a jump, in milliseconds. */
    private static final long JUMP_MILLIS = 300;

    private final EventLoop loop;
    private final ForwardingCore core;
    private final AsyncHttpClient http;
    private final CallDialect dialect;
    private final StoreGateway store;
    private final EngineGateway engines;
    private final RouterMetrics metrics;
    private final Clock steady;
    private final Clock timeOfDay;
    private final Runnable stopped;
    private final Map<RequestId, Open> open = new HashMap<>();
    private final Map<AttemptId, Running> running = new HashMap<>();
    private List<ForwardingInput> inputs = new ArrayList<>();
    private PeerTransport peers;
    private ScheduledFuture<?> wakeUp;
    private long wakeUpAtMillis = Long.MAX_VALUE;
    private long clockDifference = Long.MIN_VALUE;
    private boolean ticking;
    private long nextRequest = 1;

    private record Open(HttpExchange exchange, ForwardedCall call, CallerAnswer answer) {}

    private record Running(RequestId request, UpstreamAttempt handler, ListenableFuture<Void> future) {}

    /**
     * Creates a loop that does nothing yet.
     *
     * @param parts what it is made of
     */
    public ForwardingLoop(ForwardingParts parts) {
        this.loop = parts.loop();
        this.core = parts.core();
        this.http = parts.http();
        this.dialect = parts.dialect();
        this.store = parts.store();
        this.engines = parts.engines();
        this.metrics = parts.metrics();
        this.steady = parts.steady();
        this.timeOfDay = parts.timeOfDay();
        this.stopped = parts.stopped();
    }

    /**
     * Begins to work.
     *
     * @param transport carries messages to peers
     */
    public void start(PeerTransport transport) {
        peers = transport;
        tick();
    }

    /** Asks the core to stop; may be called from any thread. */
    public void stop() {
        loop.execute(() -> accept(new ForwardingInput.StopRequested()));
    }

    /**
     * Takes a message of a peer.
     *
     * @param from the peer
     * @param message the message
     */
    public void peerSpoke(EntryVmId from, PeerMessage message) {
        if (!(message instanceof PeerMessage.ForwardingNews news)) {
            metrics.count("peers.unexpected-messages", 1);
            return;
        }
        metrics.count("peers.received-messages", 1);
        news.items().forEach(item -> inputs.add(new ForwardingInput.StoreItemRelayed(store.read(item))));
        accept(new ForwardingInput.PeerMessageReceived(from, news));
    }

    @Override
    public void handle(HttpExchange exchange) {
        ForwardedCall call;
        try {
            call = dialect.readCall(exchange);
        } catch (IllegalArgumentException e) {
            metrics.count("requests.malformed", 1);
            LogLines.info("callers", "Request refused.", Map.of("status", 400, "reason", e.getMessage()));
            exchange.respond(400, Map.of(), new byte[0]);
            return;
        }
        RequestId request = new RequestId("r" + nextRequest++);
        open.put(request, new Open(exchange, call, new CallerAnswer(exchange)));
        exchange.onClose(() -> {
            open.remove(request);
            accept(new ForwardingInput.CallerDisconnected(request));
        });
        accept(new ForwardingInput.CallReceived(request, call));
    }

    private void accept(ForwardingInput input) {
        inputs.add(input);
        if (!ticking) {
            tick();
        }
    }

    /** Runs the core until nothing is left to be taken in; answers that come at once are taken in the next round. */
    private void tick() {
        ticking = true;
        try {
            do {
                watchClocks();
                List<ForwardingInput> batch = inputs;
                inputs = new ArrayList<>();
                core.tick(steady.nowMillis(), batch).forEach(this::handleSafely);
            } while (!inputs.isEmpty());
        } catch (RuntimeException e) {
            metrics.count("ticks.failed", 1);
            LogLines.error("router", "A tick failed.", e);
        } finally {
            ticking = false;
        }
        scheduleWakeUp();
    }

    private void watchClocks() {
        long difference = timeOfDay.nowMillis() - steady.nowMillis();
        if (clockDifference != Long.MIN_VALUE && Math.abs(difference - clockDifference) > JUMP_MILLIS) {
            inputs.add(0, new ForwardingInput.ClockJumped());
        }
        clockDifference = difference;
    }

    private void scheduleWakeUp() {
        long due = core.nextDueMillis();
        if (due == Long.MAX_VALUE || (wakeUp != null && wakeUpAtMillis <= due)) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.cancel(false);
        }
        wakeUpAtMillis = due;
        long wait = Math.max(1, due - steady.nowMillis());
        wakeUp = loop.schedule(
                () -> {
                    wakeUp = null;
                    wakeUpAtMillis = Long.MAX_VALUE;
                    if (!ticking) {
                        tick();
                    }
                },
                wait,
                TimeUnit.MILLISECONDS);
    }

    private void handleSafely(ForwardingOutput output) {
        try {
            handle(output);
        } catch (RuntimeException e) {
            metrics.count("outputs.failed", 1);
            LogLines.error("router", "An output failed.", e);
        }
    }

    private void handle(ForwardingOutput output) {
        switch (output) {
            case ForwardingOutput.Send send -> send(send);
            case ForwardingOutput.Cancel cancel -> cancel(cancel.attempt());
            case ForwardingOutput.Deliver deliver -> deliver(deliver);
            case ForwardingOutput.AbortStream broken -> {
                Open caller = open.remove(broken.request());
                if (caller != null) {
                    caller.answer().breakOff();
                }
            }
            case ForwardingOutput.Refuse refuse -> refuse(refuse);
            case ForwardingOutput.CallStore call ->
                store.call(
                        call.request(),
                        call.timeoutMillis(),
                        reply -> accept(new ForwardingInput.StoreAnswered(call.call(), reply)));
            case ForwardingOutput.OrderWeights order ->
                engines.order(order, reply -> accept(new ForwardingInput.OrderAnswered(order.engine(), reply)));
            case ForwardingOutput.QueryEngineState question ->
                engines.state(question, reply -> accept(new ForwardingInput.OrderAnswered(question.engine(), reply)));
            case ForwardingOutput.ReadCacheEvents question ->
                engines.cacheEvents(
                        question, reply -> accept(new ForwardingInput.CacheEventsReceived(question.holder(), reply)));
            case ForwardingOutput.ReadCacheSnapshot question ->
                engines.cache(
                        question, reply -> accept(new ForwardingInput.CacheEventsReceived(question.holder(), reply)));
            case ForwardingOutput.SendToPeer tell -> peers.send(tell.to(), tell.address(), tell.message());
            case ForwardingOutput.LogEvent note -> LogLines.info(note.component(), note.message(), note.fields());
            case ForwardingOutput.Count count -> metrics.count(count.metric(), 1);
            case ForwardingOutput.Measure measure -> metrics.time(measure.metric(), measure.millis());
            case ForwardingOutput.Stopped end -> stopped.run();
        }
    }

    private void send(ForwardingOutput.Send send) {
        Open caller = open.get(send.request());
        if (caller == null) {
            return;
        }
        HttpExchange exchange = caller.exchange();
        HttpHeaders headers = new DefaultHttpHeaders().set(exchange.headers());
        HopHeaders.remove(headers);
        dialect.writeTerms(headers, send.dispatch());
        RequestBuilder request = new RequestBuilder(exchange.method(), true)
                .setUri(Uri.create("http://" + send.dispatch().address() + exchange.uri()))
                .setHeaders(headers);
        if (exchange.body().length > 0) {
            request.setBody(exchange.body());
        }
        AttemptId attempt = send.attempt();
        UpstreamAttempt handler = new UpstreamAttempt(
                dialect, caller.call().callerAttemptId(), send.streaming(), event -> spoke(attempt, event));
        ListenableFuture<Void> future = http.executeRequest(request.build(), handler);
        running.put(attempt, new Running(send.request(), handler, future));
    }

    private void spoke(AttemptId attempt, AttemptEvent event) {
        accept(new ForwardingInput.AttemptEventReceived(attempt, event));
        Running spoken = running.get(attempt);
        if (spoken == null) {
            return;
        }
        boolean unwanted = event instanceof AttemptEvent.Answered && !open.containsKey(spoken.request());
        if (event instanceof AttemptEvent.Lost || unwanted) {
            running.remove(attempt);
        }
        if (event instanceof AttemptEvent.Finished) {
            running.remove(attempt);
            open.remove(spoken.request());
        }
    }

    private void cancel(AttemptId attempt) {
        Running cancelled = running.remove(attempt);
        if (cancelled != null) {
            cancelled.handler().cancelled();
            if (!cancelled.future().isDone()) {
                cancelled.future().cancel(true);
            }
        }
    }

    private void deliver(ForwardingOutput.Deliver deliver) {
        Open caller = open.get(deliver.request());
        Running attempt = running.get(deliver.attempt());
        if (caller == null || attempt == null) {
            return;
        }
        attempt.handler().deliverTo(caller.answer());
        if (attempt.handler().answered()) {
            running.remove(deliver.attempt());
            open.remove(deliver.request());
        }
    }

    private void refuse(ForwardingOutput.Refuse refuse) {
        Open caller = open.remove(refuse.request());
        if (caller == null) {
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        if (refuse.retryAfterMillis() > 0) {
            headers.set(
                    "Retry-After",
                    String.format("%d.%03d", refuse.retryAfterMillis() / 1_000, refuse.retryAfterMillis() % 1_000));
        }
        String body = "{\"error\":{\"code\":" + refuse.code().number() + ",\"message\":\""
                + refuse.code().meaning() + "\",\"advice\":\"" + refuse.code().advice() + "\"}}\n";
        headers.set("Content-Type", "application/json");
        caller.exchange().respond(refuse.code().httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
    }
}
