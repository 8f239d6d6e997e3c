package org.fuchsiatrail.wire.forwarding;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.RequestBuilder;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.StoreReply;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.fuchsiatrail.wire.peer.PeerTransport;

/**
 * Executes the outputs of a forwarding core.
 *
 * <p>An output that throws ends nothing else: a call or query gets the reply that it has failed, an attempt is lost,
 * and a request that can get no other answer is answered.
 */
final class OutputExecutor {

    private final AsyncHttpClient http;
    private final CallDialect dialect;
    private final StoreGateway store;
    private final EngineGateway engines;
    private final RouterMetrics metrics;
    private final PeerTraffic peerTraffic;
    private final Runnable onStopped;
    private final EventLoop eventLoop;
    private final MemoryBudget memory;
    private final OpenRequests openRequests;
    private final Consumer<ForwardingInput> inputs;
    private final Consumer<ForwardingOutput> handler;
    private final Map<AttemptId, RunningAttempt> runningAttempts = new HashMap<>();
    private PeerTransport peers;

    /** An attempt that was handed to the HTTP client. */
    private static final class RunningAttempt {
        private final RequestId request;
        private final UpstreamAttempt handler;
        /** Null until the HTTP client has accepted the attempt. */
        private ListenableFuture<Void> future;

        RunningAttempt(RequestId request, UpstreamAttempt handler) {
            this.request = request;
            this.handler = handler;
        }

        void cancel() {
            handler.ignoreFurtherEvents();
            if (future != null && !future.isDone()) {
                future.cancel(true);
            }
        }
    }

    /**
     * Creates an executor.
     *
     * @param dependencies the dependencies of the loop
     * @param openRequests the callers' requests
     * @param peerTraffic counts the updates that are sent to peers
     * @param inputs receives the results of outputs
     * @param decorator wraps the execution of an output; the identity outside tests
     */
    OutputExecutor(
            ForwardingDependencies dependencies,
            OpenRequests openRequests,
            PeerTraffic peerTraffic,
            Consumer<ForwardingInput> inputs,
            UnaryOperator<Consumer<ForwardingOutput>> decorator) {
        this.http = dependencies.http();
        this.dialect = dependencies.dialect();
        this.store = dependencies.store();
        this.engines = dependencies.engines();
        this.metrics = dependencies.metrics();
        this.peerTraffic = peerTraffic;
        this.onStopped = dependencies.onStopped();
        this.eventLoop = dependencies.eventLoop();
        this.memory = dependencies.memory();
        this.openRequests = openRequests;
        this.inputs = inputs;
        this.handler = decorator.apply(this::handle);
    }

    void setPeers(PeerTransport transport) {
        peers = transport;
    }

    void execute(ForwardingOutput output) {
        try {
            handler.accept(output);
        } catch (RuntimeException | Error e) {
            metrics.count("outputs.failed", 1);
            LogLines.error("router", "Output failed.", describe(output), e);
            compensate(output, e);
        }
    }

    private void handle(ForwardingOutput output) {
        switch (output) {
            case ForwardingOutput.Send send -> send(send);
            case ForwardingOutput.Cancel cancel -> cancel(cancel.attempt());
            case ForwardingOutput.Deliver deliver -> deliver(deliver);
            case ForwardingOutput.AbortStream abort ->
                openRequests.find(abort.request()).ifPresent(aborted -> {
                    aborted.response().abortStream();
                    openRequests.remove(abort.request());
                });
            case ForwardingOutput.Refuse refuse ->
                openRequests.find(refuse.request()).ifPresent(refused -> {
                    openRequests.refuse(refused, refuse.code(), refuse.retryAfterMillis());
                    openRequests.remove(refuse.request());
                });
            case ForwardingOutput.CallStore call ->
                store.call(
                        call.request(),
                        call.timeoutMillis(),
                        answer -> inputs.accept(
                                new ForwardingInput.StoreAnswered(call.call(), answer.reply(), answer.era())));
            case ForwardingOutput.OrderWeights order ->
                engines.sendOrder(
                        order, reply -> inputs.accept(new ForwardingInput.OrderAnswered(order.engine(), reply)));
            case ForwardingOutput.QueryEngineState query ->
                engines.queryState(
                        query, reply -> inputs.accept(new ForwardingInput.OrderAnswered(query.engine(), reply)));
            case ForwardingOutput.ReadCacheEvents query ->
                engines.readCacheEvents(
                        query, reply -> inputs.accept(new ForwardingInput.CacheEventsReceived(query.holder(), reply)));
            case ForwardingOutput.ReadCacheSnapshot query ->
                engines.readCacheSnapshot(
                        query, reply -> inputs.accept(new ForwardingInput.CacheEventsReceived(query.holder(), reply)));
            case ForwardingOutput.SendToPeer peerUpdate -> {
                peerTraffic.sent(peerUpdate.to(), peerUpdate.message());
                peers.send(peerUpdate.to(), peerUpdate.address(), peerUpdate.message());
            }
            case ForwardingOutput.LogEvent logEvent ->
                LogLines.info(logEvent.component(), logEvent.message(), logEvent.fields());
            case ForwardingOutput.Count count -> metrics.count(count.metric(), 1);
            case ForwardingOutput.Measure measure -> metrics.time(measure.metric(), measure.millis());
            case ForwardingOutput.InputFailed failed -> handleFailedInput(failed);
            case ForwardingOutput.SystemFailed failed -> handleFailedSystem(failed);
            case ForwardingOutput.Stopped ignored -> onStopped.run();
        }
    }

    private void send(ForwardingOutput.Send send) {
        OpenRequests.OpenRequest openRequest = openRequests.find(send.request()).orElse(null);
        if (openRequest == null) {
            return;
        }
        HttpExchange exchange = openRequest.exchange();
        HttpHeaders headers = new DefaultHttpHeaders().set(exchange.headers());
        HopByHopHeaders.remove(headers);
        dialect.writeDispatchHeaders(headers, send.dispatch());
        RequestBuilder request = new RequestBuilder(exchange.method(), true)
                .setUri(UpstreamUris.create(send.dispatch().address(), exchange.uri()))
                .setHeaders(headers)
                .setChannelPoolPartitioning(new UpstreamConnectionPool.RequestPartitioning(
                        openRequest.call().callerAttemptId()));
        if (exchange.body().length > 0) {
            request.setBody(exchange.body());
        }
        AttemptId attempt = send.attempt();
        UpstreamAttempt attemptHandler = new UpstreamAttempt(
                dialect,
                openRequest.call().callerAttemptId(),
                send.streaming(),
                memory,
                eventLoop,
                event -> receiveAttemptEvent(attempt, event));
        RunningAttempt running = new RunningAttempt(send.request(), attemptHandler);
        runningAttempts.put(attempt, running);
        openRequest.attemptBegins(attempt, send.dispatch().upstream());
        running.future = http.executeRequest(request.build(), attemptHandler);
    }

    private RunningAttempt forget(AttemptId attempt) {
        RunningAttempt running = runningAttempts.remove(attempt);
        if (running != null) {
            running.handler.releaseMemory();
        }
        return running;
    }

    private void receiveAttemptEvent(AttemptId attempt, AttemptEvent event) {
        inputs.accept(new ForwardingInput.AttemptEventReceived(attempt, event));
        RunningAttempt running = runningAttempts.get(attempt);
        if (running == null) {
            return;
        }
        boolean callerDisconnected = event instanceof AttemptEvent.Answered
                && openRequests.find(running.request).isEmpty();
        boolean ended = event instanceof AttemptEvent.Lost || event instanceof AttemptEvent.Mismatched;
        if (ended || callerDisconnected) {
            forget(attempt);
        }
        if (event instanceof AttemptEvent.Finished && running.handler.deliveryComplete()) {
            forget(attempt);
            openRequests.remove(running.request);
        }
    }

    private void cancel(AttemptId attempt) {
        RunningAttempt cancelled = forget(attempt);
        if (cancelled == null) {
            return;
        }
        if (cancelled.handler.isWaitingToSend()) {
            AttemptEvent notSent = new AttemptEvent.Lost(false, false, "", "cancelled before it was sent");
            inputs.accept(new ForwardingInput.AttemptEventReceived(attempt, notSent));
        }
        cancelled.cancel();
    }

    private void deliver(ForwardingOutput.Deliver deliver) {
        OpenRequests.OpenRequest openRequest =
                openRequests.find(deliver.request()).orElse(null);
        if (openRequest == null) {
            return;
        }
        RunningAttempt running = runningAttempts.get(deliver.attempt());
        if (running == null) {
            throw new IllegalStateException("the answer of attempt " + deliver.attempt() + " is no longer known");
        }
        running.handler.deliverTo(openRequest.response());
        if (running.handler.deliveryComplete()) {
            forget(deliver.attempt());
            openRequests.remove(deliver.request());
        }
    }

    /** Replaces what an output that has failed would have led to. */
    private void compensate(ForwardingOutput output, Throwable cause) {
        String reason = "output failed: " + cause;
        switch (output) {
            case ForwardingOutput.Send send -> compensateSend(send, reason);
            case ForwardingOutput.Deliver deliver -> {
                RunningAttempt running = runningAttempts.get(deliver.attempt());
                if (running != null && running.handler.deliveryComplete()) {
                    forget(deliver.attempt());
                }
                failRequest(deliver.request());
            }
            case ForwardingOutput.AbortStream abort -> failRequest(abort.request());
            case ForwardingOutput.Refuse refuse -> failRequest(refuse.request());
            case ForwardingOutput.CallStore call ->
                inputs.accept(new ForwardingInput.StoreAnswered(call.call(), new StoreReply.Failed(true, reason)));
            case ForwardingOutput.OrderWeights order -> failOrder(order.engine(), reason);
            case ForwardingOutput.QueryEngineState query -> failOrder(query.engine(), reason);
            case ForwardingOutput.ReadCacheEvents query -> failCacheRead(query.holder(), reason);
            case ForwardingOutput.ReadCacheSnapshot query -> failCacheRead(query.holder(), reason);
            case ForwardingOutput.InputFailed failed ->
                requestOf(failed.input()).ifPresent(this::failRequest);
            case ForwardingOutput.SystemFailed failed -> failed.request().ifPresent(this::failRequest);
            case ForwardingOutput.Cancel cancel -> {
                RunningAttempt cancelled = forget(cancel.attempt());
                if (cancelled != null) {
                    cancelled.cancel();
                }
            }
            // The next update of a peer holds what this one held; the others concern only logs, metrics and the end.
            case ForwardingOutput.SendToPeer ignored -> {}
            case ForwardingOutput.LogEvent ignored -> {}
            case ForwardingOutput.Count ignored -> {}
            case ForwardingOutput.Measure ignored -> {}
            case ForwardingOutput.Stopped ignored -> {}
        }
    }

    /** Loses an attempt that may have been sent; a request that cannot be sent anywhere is answered. */
    private void compensateSend(ForwardingOutput.Send send, String reason) {
        RunningAttempt running = forget(send.attempt());
        if (running == null) {
            failRequest(send.request());
            return;
        }
        running.cancel();
        inputs.accept(new ForwardingInput.AttemptEventReceived(
                send.attempt(), new AttemptEvent.Lost(true, false, "", reason)));
    }

    private void failOrder(UpstreamId engine, String reason) {
        inputs.accept(new ForwardingInput.OrderAnswered(engine, new OrderReply.Failed(reason)));
    }

    private void failCacheRead(UpstreamId holder, String reason) {
        inputs.accept(new ForwardingInput.CacheEventsReceived(holder, new CacheEventsReply.Failed(reason)));
    }

    private void handleFailedInput(ForwardingOutput.InputFailed failed) {
        metrics.count("inputs.failed", 1);
        LogLines.error("router", "Input could not be handled.", describe(failed.input()), failed.cause());
        requestOf(failed.input()).ifPresent(this::failRequest);
        String reason = "reply could not be handled: " + failed.cause();
        if (failed.input() instanceof ForwardingInput.OrderAnswered answered
                && !(answered.reply() instanceof OrderReply.Failed)) {
            failOrder(answered.engine(), reason);
        }
        if (failed.input() instanceof ForwardingInput.CacheEventsReceived received
                && !(received.reply() instanceof CacheEventsReply.Failed)) {
            failCacheRead(received.holder(), reason);
        }
    }

    private void handleFailedSystem(ForwardingOutput.SystemFailed failed) {
        metrics.count("systems.failed", 1);
        Map<String, Object> fields = new LinkedHashMap<>(Map.of("system", failed.system()));
        failed.request().ifPresent(request -> addRequest(fields, request));
        LogLines.error("router", "Part of the router failed.", fields, failed.cause());
        failed.request().ifPresent(this::failRequest);
    }

    /** Answers a request that gets no other answer, if it is still open, and lets the core forget it. */
    void failRequest(RequestId request) {
        openRequests.fail(request);
        inputs.accept(new ForwardingInput.CallerDisconnected(request));
    }

    /** Ends all open requests, since the process ends. */
    void failAllRequests() {
        openRequests.all().forEach(this::failRequest);
    }

    private Optional<RequestId> requestOf(ForwardingInput input) {
        return switch (input) {
            case ForwardingInput.CallReceived received -> Optional.of(received.request());
            case ForwardingInput.AttemptEventReceived received -> requestOf(received.attempt());
            default -> Optional.empty();
        };
    }

    private Optional<RequestId> requestOf(AttemptId attempt) {
        RunningAttempt running = runningAttempts.get(attempt);
        return running == null ? openRequests.findByLastAttempt(attempt) : Optional.of(running.request);
    }

    private Map<String, Object> describe(ForwardingInput input) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("input", input.getClass().getSimpleName());
        requestOf(input).ifPresent(request -> addRequest(fields, request));
        return fields;
    }

    private Map<String, Object> describe(ForwardingOutput output) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("output", output.getClass().getSimpleName());
        Optional<RequestId> request =
                switch (output) {
                    case ForwardingOutput.Send send -> Optional.of(send.request());
                    case ForwardingOutput.Deliver deliver -> Optional.of(deliver.request());
                    case ForwardingOutput.Refuse refuse -> Optional.of(refuse.request());
                    case ForwardingOutput.AbortStream abort -> Optional.of(abort.request());
                    default -> Optional.empty();
                };
        request.ifPresent(named -> addRequest(fields, named));
        return fields;
    }

    private void addRequest(Map<String, Object> fields, RequestId request) {
        openRequests
                .find(request)
                .ifPresent(open -> fields.put("request", open.call().callerAttemptId()));
    }
}
