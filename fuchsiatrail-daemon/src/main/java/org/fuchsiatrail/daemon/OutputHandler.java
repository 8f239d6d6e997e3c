package org.fuchsiatrail.daemon;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.asynchttpclient.AsyncHttpClient;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.PeerMessage;
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

/** Does what the core wants done, and turns the results into its inputs. */
final class OutputHandler {

    private final Consumer<Input> inputs;
    private final EngineClient engines;
    private final ServiceClient services;
    private final StoreClient store;
    private final PeerTransport peers;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final RouterMetrics metrics;
    private final Traces traces;
    private final Runnable stopped;
    private final Map<AttemptId, EngineClient.Running> running = new ConcurrentHashMap<>();
    private final Set<UpstreamId> readingEvents = ConcurrentHashMap.newKeySet();

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
            Runnable stopped) {
        this.inputs = inputs;
        this.engines = new EngineClient(http);
        this.services = new ServiceClient(http, clock);
        this.store = new StoreClient(http, settings.text(SettingKey.STORE_ADDRESS));
        this.peers = peers;
        this.callers = callers;
        this.operators = operators;
        this.metrics = metrics;
        this.traces = traces;
        this.stopped = stopped;
    }

    void handle(Output output) {
        switch (output) {
            case Output.StartEngine start -> startEngine(start);
            case Output.CancelEngine cancel -> cancelEngine(cancel);
            case Output.CallService call -> callService(call);
            case Output.QueryLoad ask -> askLoad(ask);
            case Output.ReadCacheEvents read -> readEvents(read);
            case Output.OrderLoad order -> order(order);
            case Output.SendToPeer send -> peers.send(send.to(), send.address(), send.message());
            case Output.CallStore call ->
                store.call(
                        call.request(),
                        call.timeoutMillis(),
                        result -> inputs.accept(new Input.StoreAnswered(call.call(), result)));
            case Output.AnswerCaller answer -> callers.answer(answer.request(), answer.answer());
            case Output.AnswerOperator answer -> operators.answer(answer.call(), answer.answer());
            case Output.LogEvent note -> LogLines.info(note.component(), note.message(), note.fields());
            case Output.Count count -> metrics.count(count.metric(), count.amount());
            case Output.Stopped end -> stopped.run();
        }
    }

    private void startEngine(Output.StartEngine start) {
        EngineCall asked = start.call();
        Span span = traces.begin("attempt " + start.engine(), SpanKind.CLIENT, asked.traceparent());
        EngineCall call = withTraceparent(asked, Traces.traceparent(span, asked.traceparent()));
        EngineClient.Running attempt = engines.start(start.address(), call, event -> {
            boolean last = !(event instanceof EngineEvent.Started || event instanceof EngineEvent.Token);
            if (last) {
                running.remove(start.attempt());
                span.end();
            }
            inputs.accept(new Input.EngineSpoke(start.attempt(), event));
        });
        running.put(start.attempt(), attempt);
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
        EngineClient.Running attempt = running.remove(cancel.attempt());
        if (attempt != null) {
            attempt.abort();
        }
        engines.cancel(cancel.address(), cancel.request());
    }

    private void callService(Output.CallService call) {
        Span span = traces.begin(
                "call " + call.service(), SpanKind.CLIENT, call.call().traceparent());
        services.call(
                call.address(), call.request(), call.customer(), call.call(), call.deadlineAtMillis(), outcome -> {
                    span.end();
                    inputs.accept(new Input.ServiceEnded(call.attempt(), outcome));
                });
    }

    private void askLoad(Output.QueryLoad ask) {
        engines.load(
                ask.address(),
                report -> inputs.accept(
                        report == null ? new Input.LoadMissing(ask.engine()) : new Input.LoadArrived(report)));
    }

    private void readEvents(Output.ReadCacheEvents read) {
        if (!readingEvents.add(read.engine())) {
            return;
        }
        engines.cacheEvents(read.address(), read.fromSequence(), events -> {
            readingEvents.remove(read.engine());
            if (events != null) {
                inputs.accept(new Input.CacheEventsArrived(events));
            }
        });
    }

    private void order(Output.OrderLoad order) {
        EngineClient.LoadOrder body =
                new EngineClient.LoadOrder(order.order(), order.model(), order.fencingToken(), order.expiresInMillis());
        engines.order(
                order.address(),
                body,
                reason -> inputs.accept(new Input.OrderEnded(order.order(), reason.isEmpty(), reason)));
    }

    /** Records the span of a peer's question that belongs to a request. */
    void tracePeer(PeerMessage message) {
        String parent =
                switch (message) {
                    case PeerMessage.AskDirectory ask -> ask.traceparent();
                    case PeerMessage.AskClaim ask -> ask.traceparent();
                    default -> "";
                };
        if (parent != null && !parent.isEmpty()) {
            String name = message.getClass().getSimpleName();
            traces.begin("peer " + name, SpanKind.SERVER, parent).end();
        }
    }
}
