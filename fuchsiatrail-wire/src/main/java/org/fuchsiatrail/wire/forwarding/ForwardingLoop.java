package org.fuchsiatrail.wire.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
import org.fuchsiatrail.ResultCode;
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
 * Drives a forwarding core on one event loop: passes it inputs, executes its outputs, and ticks it when a timer is due.
 *
 * <p>All methods except {@link #stop} must be called on the event loop.
 */
public final class ForwardingLoop implements HttpHandler {

    /** The change of the offset between wall clock and steady clock above which the clock jumped, in milliseconds. */
    private static final long CLOCK_JUMP_MILLIS = 300;

    private final EventLoop eventLoop;
    private final ForwardingCore core;
    private final AsyncHttpClient http;
    private final CallDialect dialect;
    private final StoreGateway store;
    private final EngineGateway engines;
    private final RouterMetrics metrics;
    private final Clock steadyClock;
    private final Clock wallClock;
    private final Runnable onStopped;
    private final Map<RequestId, OpenRequest> openRequests = new HashMap<>();
    private final Map<AttemptId, RunningAttempt> runningAttempts = new HashMap<>();
    private List<ForwardingInput> inputs = new ArrayList<>();
    private PeerTransport peers;
    private ScheduledFuture<?> wakeUp;
    private long wakeUpAtMillis = Long.MAX_VALUE;
    private long clockOffsetMillis = Long.MIN_VALUE;
    private boolean ticking;
    private long nextRequestNumber = 1;

    private record OpenRequest(HttpExchange exchange, ForwardedCall call, CallerResponse response) {}

    private record RunningAttempt(RequestId request, UpstreamAttempt handler, ListenableFuture<Void> future) {}

    /**
     * Creates a loop that is idle until {@link #start} is called.
     *
     * @param dependencies the loop's dependencies
     */
    public ForwardingLoop(ForwardingDependencies dependencies) {
        this.eventLoop = dependencies.eventLoop();
        this.core = dependencies.core();
        this.http = dependencies.http();
        this.dialect = dependencies.dialect();
        this.store = dependencies.store();
        this.engines = dependencies.engines();
        this.metrics = dependencies.metrics();
        this.steadyClock = dependencies.steadyClock();
        this.wallClock = dependencies.wallClock();
        this.onStopped = dependencies.onStopped();
    }

    /**
     * Starts the loop with a first tick of the core.
     *
     * @param transport sends messages to peers
     */
    public void start(PeerTransport transport) {
        peers = transport;
        tick();
    }

    /** Requests a graceful shutdown; may be called from any thread. */
    public void stop() {
        eventLoop.execute(() -> accept(new ForwardingInput.StopRequested()));
    }

    /**
     * Receives a message from a peer. Messages other than peer updates are counted and ignored.
     *
     * @param from the peer
     * @param message the message
     */
    public void receivePeerMessage(EntryVmId from, PeerMessage message) {
        if (!(message instanceof PeerMessage.ForwardingNews update)) {
            metrics.count("peers.unexpected-messages", 1);
            return;
        }
        metrics.count("peers.received-messages", 1);
        update.items().stream()
                .filter(Objects::nonNull)
                .forEach(item -> inputs.add(new ForwardingInput.StoreItemRelayed(store.parseItem(item))));
        accept(new ForwardingInput.PeerMessageReceived(from, update));
    }

    @Override
    public void handle(HttpExchange exchange) {
        ForwardedCall call;
        try {
            call = dialect.parseCall(exchange);
        } catch (IllegalArgumentException e) {
            metrics.count("requests.malformed", 1);
            LogLines.info("callers", "Malformed request refused.", Map.of("status", 400, "reason", e.getMessage()));
            exchange.respond(400, Map.of(), new byte[0]);
            return;
        }
        RequestId request = new RequestId("r" + nextRequestNumber++);
        openRequests.put(request, new OpenRequest(exchange, call, new CallerResponse(exchange)));
        exchange.onDisconnect(() -> {
            openRequests.remove(request);
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

    /** Ticks the core until there are no inputs left; inputs that arrive during a tick are passed to the next one. */
    private void tick() {
        ticking = true;
        try {
            do {
                detectClockJump();
                List<ForwardingInput> batch = inputs;
                inputs = new ArrayList<>();
                core.tick(steadyClock.nowMillis(), batch).forEach(this::handleSafely);
            } while (!inputs.isEmpty());
        } catch (RuntimeException e) {
            metrics.count("ticks.failed", 1);
            LogLines.error("router", "Tick failed; its inputs may be lost.", e);
        } finally {
            ticking = false;
        }
        scheduleWakeUp();
    }

    private void detectClockJump() {
        long offsetMillis = wallClock.nowMillis() - steadyClock.nowMillis();
        if (clockOffsetMillis != Long.MIN_VALUE && Math.abs(offsetMillis - clockOffsetMillis) > CLOCK_JUMP_MILLIS) {
            inputs.add(0, new ForwardingInput.ClockJumped(offsetMillis - clockOffsetMillis));
        }
        clockOffsetMillis = offsetMillis;
    }

    private void scheduleWakeUp() {
        long dueAtMillis = core.nextDueMillis();
        if (dueAtMillis == Long.MAX_VALUE || (wakeUp != null && wakeUpAtMillis <= dueAtMillis)) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.cancel(false);
        }
        wakeUpAtMillis = dueAtMillis;
        long delayMillis = Math.max(1, dueAtMillis - steadyClock.nowMillis());
        wakeUp = eventLoop.schedule(
                () -> {
                    wakeUp = null;
                    wakeUpAtMillis = Long.MAX_VALUE;
                    if (!ticking) {
                        tick();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private void handleSafely(ForwardingOutput output) {
        try {
            handle(output);
        } catch (RuntimeException e) {
            metrics.count("outputs.failed", 1);
            LogLines.error("router", "Output failed and is not retried.", e);
        }
    }

    private void handle(ForwardingOutput output) {
        switch (output) {
            case ForwardingOutput.Send send -> send(send);
            case ForwardingOutput.Cancel cancel -> cancel(cancel.attempt());
            case ForwardingOutput.Deliver deliver -> deliver(deliver);
            case ForwardingOutput.AbortStream abort -> {
                OpenRequest openRequest = openRequests.remove(abort.request());
                if (openRequest != null) {
                    openRequest.response().abortStream();
                }
            }
            case ForwardingOutput.Refuse refuse -> refuse(refuse);
            case ForwardingOutput.CallStore call ->
                store.call(
                        call.request(),
                        call.timeoutMillis(),
                        reply -> accept(new ForwardingInput.StoreAnswered(call.call(), reply)));
            case ForwardingOutput.OrderWeights order ->
                engines.sendOrder(order, reply -> accept(new ForwardingInput.OrderAnswered(order.engine(), reply)));
            case ForwardingOutput.QueryEngineState query ->
                engines.queryState(query, reply -> accept(new ForwardingInput.OrderAnswered(query.engine(), reply)));
            case ForwardingOutput.ReadCacheEvents query ->
                engines.readCacheEvents(
                        query, reply -> accept(new ForwardingInput.CacheEventsReceived(query.holder(), reply)));
            case ForwardingOutput.ReadCacheSnapshot query ->
                engines.readCacheSnapshot(
                        query, reply -> accept(new ForwardingInput.CacheEventsReceived(query.holder(), reply)));
            case ForwardingOutput.SendToPeer peerUpdate ->
                peers.send(peerUpdate.to(), peerUpdate.address(), peerUpdate.message());
            case ForwardingOutput.LogEvent logEvent ->
                LogLines.info(logEvent.component(), logEvent.message(), logEvent.fields());
            case ForwardingOutput.Count count -> metrics.count(count.metric(), 1);
            case ForwardingOutput.Measure measure -> metrics.time(measure.metric(), measure.millis());
            case ForwardingOutput.Stopped ignored -> onStopped.run();
        }
    }

    private void send(ForwardingOutput.Send send) {
        OpenRequest openRequest = openRequests.get(send.request());
        if (openRequest == null) {
            return;
        }
        HttpExchange exchange = openRequest.exchange();
        HttpHeaders headers = new DefaultHttpHeaders().set(exchange.headers());
        HopByHopHeaders.remove(headers);
        dialect.writeDispatchHeaders(headers, send.dispatch());
        RequestBuilder request = new RequestBuilder(exchange.method(), true)
                .setUri(Uri.create("http://" + send.dispatch().address() + exchange.uri()))
                .setHeaders(headers)
                .setChannelPoolPartitioning(new UpstreamConnectionPool.RequestPartitioning(
                        openRequest.call().callerAttemptId()));
        if (exchange.body().length > 0) {
            request.setBody(exchange.body());
        }
        AttemptId attempt = send.attempt();
        UpstreamAttempt handler = new UpstreamAttempt(
                dialect,
                openRequest.call().callerAttemptId(),
                send.streaming(),
                event -> receiveAttemptEvent(attempt, event));
        ListenableFuture<Void> future = http.executeRequest(request.build(), handler);
        runningAttempts.put(attempt, new RunningAttempt(send.request(), handler, future));
    }

    private void receiveAttemptEvent(AttemptId attempt, AttemptEvent event) {
        accept(new ForwardingInput.AttemptEventReceived(attempt, event));
        RunningAttempt runningAttempt = runningAttempts.get(attempt);
        if (runningAttempt == null) {
            return;
        }
        boolean callerDisconnected =
                event instanceof AttemptEvent.Answered && !openRequests.containsKey(runningAttempt.request());
        boolean ended = event instanceof AttemptEvent.Lost || event instanceof AttemptEvent.Mismatched;
        if (ended || callerDisconnected) {
            runningAttempts.remove(attempt);
        }
        if (event instanceof AttemptEvent.Finished) {
            runningAttempts.remove(attempt);
            openRequests.remove(runningAttempt.request());
        }
    }

    private void cancel(AttemptId attempt) {
        RunningAttempt cancelled = runningAttempts.remove(attempt);
        if (cancelled != null) {
            if (cancelled.handler().isWaitingToSend()) {
                AttemptEvent notSent = new AttemptEvent.Lost(false, false, "", "cancelled before it was sent");
                accept(new ForwardingInput.AttemptEventReceived(attempt, notSent));
            }
            cancelled.handler().ignoreFurtherEvents();
            if (!cancelled.future().isDone()) {
                cancelled.future().cancel(true);
            }
        }
    }

    private void deliver(ForwardingOutput.Deliver deliver) {
        OpenRequest openRequest = openRequests.get(deliver.request());
        RunningAttempt attempt = runningAttempts.get(deliver.attempt());
        if (openRequest == null || attempt == null) {
            return;
        }
        attempt.handler().deliverTo(openRequest.response());
        if (attempt.handler().plainResponseDelivered()) {
            runningAttempts.remove(deliver.attempt());
            openRequests.remove(deliver.request());
        }
    }

    private void refuse(ForwardingOutput.Refuse refuse) {
        OpenRequest openRequest = openRequests.remove(refuse.request());
        if (openRequest == null) {
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        if (refuse.retryAfterMillis() > 0) {
            headers.set(
                    "Retry-After",
                    String.format("%d.%03d", refuse.retryAfterMillis() / 1_000, refuse.retryAfterMillis() % 1_000));
        }
        if (refuse.code() == ResultCode.WITHOUT_PATH) {
            headers.set(RelayHeaders.WITHOUT_PATH, "1");
        }
        String body = "{\"error\":{\"code\":" + refuse.code().number() + ",\"message\":\""
                + refuse.code().meaning() + "\",\"advice\":\"" + refuse.code().advice() + "\"}}\n";
        headers.set("Content-Type", "application/json");
        dialect.writeRefusalHeaders(headers, openRequest.call());
        openRequest.exchange().respond(refuse.code().httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
    }
}
