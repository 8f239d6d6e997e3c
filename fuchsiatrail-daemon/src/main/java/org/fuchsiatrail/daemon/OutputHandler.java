package org.fuchsiatrail.daemon;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.asynchttpclient.AsyncHttpClient;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.ServiceOutcome;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.daemon.callers.CallerServer;
import org.fuchsiatrail.daemon.observe.Traces;
import org.fuchsiatrail.daemon.operators.OperatorServer;
import org.fuchsiatrail.daemon.settings.SettingKey;
import org.fuchsiatrail.daemon.settings.Settings;
import org.fuchsiatrail.wire.client.EngineClient;
import org.fuchsiatrail.wire.client.ServiceClient;
import org.fuchsiatrail.wire.client.StoreClient;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.fuchsiatrail.wire.peer.PeerTransport;

/**
 * Carries out the outputs of the core and passes their results back to it as inputs.
 *
 * <p>An output that throws ends nothing else: an attempt, call or query gets the result that it has failed. A caller
 * or operator whose answer cannot be written gets another one, or the end of the connection.
 */
final class OutputHandler {

    private final Consumer<Input> inputs;
    private final EngineClient engineClient;
    private final ServiceClient serviceClient;
    private final StoreClient storeClient;
    private final PeerTransport peers;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final RouterMetrics metrics;
    private final Traces traces;
    private final Runnable onStopped;
    private final RunningAttempts runningAttempts = new RunningAttempts();
    private final Set<UpstreamId> pendingCacheEventReads = ConcurrentHashMap.newKeySet();

    OutputHandler(
            Clock clock,
            AsyncHttpClient http,
            Settings settings,
            Consumer<Input> inputs,
            PeerTransport peers,
            CallerServer callers,
            OperatorServer operators,
            RouterMetrics metrics,
            Traces traces,
            Runnable onStopped) {
        this.inputs = inputs;
        this.engineClient = new EngineClient(http);
        this.serviceClient = new ServiceClient(http, clock);
        this.storeClient = new StoreClient(http, settings.text(SettingKey.STORE_ADDRESS));
        this.peers = peers;
        this.callers = callers;
        this.operators = operators;
        this.metrics = metrics;
        this.traces = traces;
        this.onStopped = onStopped;
    }

    void execute(Output output) {
        try {
            handle(output);
        } catch (RuntimeException | Error e) {
            metrics.count("outputs.failed", 1);
            LogLines.error(
                    "router", "Output failed.", Map.of("kind", output.getClass().getSimpleName()), e);
            compensate(output, "output failed: " + e);
        }
    }

    /** Replaces what an output that has failed would have led to. */
    private void compensate(Output output, String reason) {
        switch (output) {
            case Output.StartEngine start -> {
                runningAttempts.abort(start.attempt());
                inputs.accept(new Input.EngineSpoke(start.attempt(), new EngineEvent.Lost(false, reason)));
            }
            case Output.CallService call ->
                inputs.accept(new Input.ServiceEnded(call.attempt(), new ServiceOutcome.Unknown(reason)));
            case Output.QueryLoad query -> inputs.accept(new Input.LoadMissing(query.engine()));
            case Output.ReadCacheEvents read -> pendingCacheEventReads.remove(read.engine());
            case Output.OrderLoad order -> inputs.accept(new Input.OrderEnded(order.order(), false, reason));
            case Output.CallStore call ->
                inputs.accept(new Input.StoreAnswered(call.call(), new StoreResult.Unavailable(reason)));
            case Output.AnswerCaller answer -> {
                callers.fail(answer.request());
                inputs.accept(new Input.CallerLeft(answer.request()));
            }
            case Output.AnswerOperator answer -> operators.fail(answer.call());
            // An engine ends a cancelled stream by itself, peers get later messages, and the others need no result.
            case Output.CancelEngine ignored -> {}
            case Output.SendToPeer ignored -> {}
            case Output.LogEvent ignored -> {}
            case Output.Count ignored -> {}
            case Output.Stopped ignored -> {}
        }
    }

    private void handle(Output output) {
        switch (output) {
            case Output.StartEngine start -> startEngine(start);
            case Output.CancelEngine cancel -> cancelEngine(cancel);
            case Output.CallService call -> callService(call);
            case Output.QueryLoad query -> queryLoad(query);
            case Output.ReadCacheEvents read -> readCacheEvents(read);
            case Output.OrderLoad order -> orderLoad(order);
            case Output.SendToPeer send -> peers.send(send.to(), send.address(), send.message());
            case Output.CallStore call ->
                storeClient.call(
                        call.request(),
                        call.timeoutMillis(),
                        result -> inputs.accept(new Input.StoreAnswered(call.call(), result)));
            case Output.AnswerCaller answer -> callers.answer(answer.request(), answer.answer());
            case Output.AnswerOperator answer -> operators.answer(answer.call(), answer.answer());
            case Output.LogEvent logEvent -> LogLines.info(logEvent.component(), logEvent.message(), logEvent.fields());
            case Output.Count count -> metrics.count(count.metric(), count.amount());
            case Output.Stopped stop -> onStopped.run();
        }
    }

    private void startEngine(Output.StartEngine start) {
        EngineCall originalCall = start.call();
        Span span = traces.beginSpan("attempt " + start.engine(), SpanKind.CLIENT, originalCall.traceparent());
        EngineCall tracedCall = withTraceparent(originalCall, Traces.traceparent(span, originalCall.traceparent()));
        runningAttempts.start(
                start.attempt(),
                onEnd -> engineClient.start(start.address(), tracedCall, event -> {
                    boolean last = !(event instanceof EngineEvent.Started || event instanceof EngineEvent.Token);
                    if (last) {
                        onEnd.run();
                        span.end();
                    }
                    inputs.accept(new Input.EngineSpoke(start.attempt(), event));
                }));
    }

    private static EngineCall withTraceparent(EngineCall call, String traceparent) {
        return new EngineCall(
                call.request(),
                call.customer(),
                call.model(),
                call.adapter(),
                call.cacheSalt(),
                call.expectedIncarnation(),
                call.prompt(),
                call.resumeFrom(),
                call.maximumTokens(),
                call.priority(),
                traceparent);
    }

    private void cancelEngine(Output.CancelEngine cancel) {
        runningAttempts.abort(cancel.attempt());
        engineClient.cancel(cancel.address(), cancel.request());
    }

    private void callService(Output.CallService call) {
        Span span = traces.beginSpan(
                "call " + call.service(), SpanKind.CLIENT, call.call().traceparent());
        serviceClient.call(
                call.address(), call.request(), call.customer(), call.call(), call.deadlineAtMillis(), outcome -> {
                    span.end();
                    inputs.accept(new Input.ServiceEnded(call.attempt(), outcome));
                });
    }

    private void queryLoad(Output.QueryLoad query) {
        engineClient.queryLoad(
                query.address(),
                report -> inputs.accept(
                        report == null ? new Input.LoadMissing(query.engine()) : new Input.LoadArrived(report)));
    }

    private void readCacheEvents(Output.ReadCacheEvents read) {
        // At most one read of cache events is in flight per engine.
        if (!pendingCacheEventReads.add(read.engine())) {
            return;
        }
        engineClient.readCacheEvents(read.address(), read.fromSequence(), events -> {
            pendingCacheEventReads.remove(read.engine());
            if (events != null) {
                inputs.accept(new Input.CacheEventsArrived(events));
            }
        });
    }

    private void orderLoad(Output.OrderLoad order) {
        EngineClient.LoadOrder body =
                new EngineClient.LoadOrder(order.order(), order.model(), order.fencingToken(), order.expiresInMillis());
        engineClient.sendOrder(
                order.address(),
                body,
                reason -> inputs.accept(new Input.OrderEnded(order.order(), reason.isEmpty(), reason)));
    }

    /** Records a span for a peer message that is a query made on behalf of a traced request. */
    void recordPeerSpan(PeerMessage message) {
        String parent =
                switch (message) {
                    case PeerMessage.AskDirectory query -> query.traceparent();
                    case PeerMessage.AskClaim query -> query.traceparent();
                    default -> "";
                };
        if (parent != null && !parent.isEmpty()) {
            String name = message.getClass().getSimpleName();
            traces.beginSpan("peer " + name, SpanKind.SERVER, parent).end();
        }
    }
}
