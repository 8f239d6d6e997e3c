package org.fuchsiatrail.daemon.callers;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.daemon.observe.Traces;
import org.fuchsiatrail.daemon.settings.SettingKey;
import org.fuchsiatrail.daemon.settings.Settings;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.http.HttpHandler;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/** Turns callers' HTTP requests into inputs of the core, and its answers into HTTP. */
public final class CallerServer implements HttpHandler {

    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH = "/services/";
    private static final int STANDARD_TOKENS = 256;
    private static final int MOST_TOKENS = 100_000;
    private static final int LONGEST_KEY = 200;

    private final ObjectMapper json =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private final AnswerWriter writer = new AnswerWriter();
    private final Map<RequestId, Open> open = new ConcurrentHashMap<>();
    private final AtomicLong serial = new AtomicLong();
    private final String requestPrefix;
    private final long firstTokenMillis;
    private final long serviceMillis;
    private final Clock clock;
    private final Consumer<Input> inputs;
    private final BooleanSupplier ready;
    private final RouterMetrics metrics;
    private final Traces traces;

    /**
     * Creates a server without a port.
     *
     * @param settings the settings
     * @param incarnation the number of this life of the router
     * @param clock the time
     * @param inputs takes inputs for the core
     * @param ready whether the router takes work
     * @param metrics the metrics
     * @param traces the traces
     */
    public CallerServer(
            Settings settings,
            long incarnation,
            Clock clock,
            Consumer<Input> inputs,
            BooleanSupplier ready,
            RouterMetrics metrics,
            Traces traces) {
        this.requestPrefix = settings.text(SettingKey.ROUTER_ID) + "-" + incarnation + "-";
        this.firstTokenMillis = settings.integer(SettingKey.CALLERS_FIRST_TOKEN_MILLIS);
        this.serviceMillis = settings.integer(SettingKey.CALLERS_SERVICE_MILLIS);
        this.clock = clock;
        this.inputs = inputs;
        this.ready = ready;
        this.metrics = metrics;
        this.traces = traces;
        metrics.gauge("requests.open", open::size);
    }

    private static final class Open {
        private final CallerConnection connection;
        private final Span span;
        private final long arrivedMillis;
        private boolean begun;

        Open(CallerConnection connection, Span span, long arrivedMillis) {
            this.connection = connection;
            this.span = span;
            this.arrivedMillis = arrivedMillis;
        }
    }

    @Override
    public void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals(CHAT_PATH)) {
            takeChat(exchange);
        } else if (path.startsWith(SERVICES_PATH)) {
            takeService(exchange);
        } else if (path.equals("/ready")) {
            exchange.respond(ready.getAsBoolean() ? 200 : 503, Map.of(), new byte[0]);
        } else {
            refuse(exchange, ResultCode.NOT_FOUND, "Path: " + path + ".");
        }
    }

    private void takeChat(HttpExchange exchange) {
        if (!exchange.method().equals("POST")) {
            refuse(exchange, ResultCode.NOT_FOUND, "Use POST.");
            return;
        }
        ChatBody body;
        try {
            body = json.readValue(exchange.body(), ChatBody.class);
        } catch (IOException e) {
            refuse(exchange, ResultCode.INVALID_REQUEST, "The body is not the expected JSON.");
            return;
        }
        String fault = fault(body);
        if (!fault.isEmpty()) {
            refuse(exchange, ResultCode.INVALID_REQUEST, fault);
            return;
        }
        RequestId request = newRequest();
        CallerConnection connection = body.stream()
                ? writer.new Streamed(exchange, request, body.model())
                : writer.new Whole(exchange, request, body.model());
        String received = exchange.header("traceparent").orElse("");
        Open opened = remember(exchange, request, connection, "chat", received);
        ChatCall call = chatCall(exchange, body, Traces.traceparent(opened.span, received));
        inputs.accept(new Input.ChatArrived(request, apiKey(exchange), call));
    }

    private ChatCall chatCall(HttpExchange exchange, ChatBody body, String traceparent) {
        return new ChatCall(
                body.model(),
                body.adapter() == null ? "" : body.adapter(),
                body.cacheScope() == null ? "" : body.cacheScope(),
                body.wholePrompt(),
                body.tokens(STANDARD_TOKENS),
                body.firstTokenMillis() == null ? firstTokenMillis : body.firstTokenMillis(),
                body.priority() == null ? 0 : body.priority(),
                body.stream() ? exchange.header("Last-Event-ID").orElse("") : "",
                traceparent);
    }

    private static String fault(ChatBody body) {
        if (body == null || body.model() == null || body.model().isBlank()) {
            return "The field model is missing.";
        }
        if (body.wholePrompt().isEmpty()) {
            return "Neither messages nor prompt holds a text.";
        }
        int tokens = body.tokens(STANDARD_TOKENS);
        if (tokens < 1 || tokens > MOST_TOKENS) {
            return "The field max_tokens must be from 1 to " + MOST_TOKENS + ".";
        }
        if (body.priority() != null && (body.priority() < 0 || body.priority() > 9)) {
            return "The field priority must be from 0 to 9.";
        }
        if (body.firstTokenMillis() != null && body.firstTokenMillis() < 1) {
            return "The field first_token_ms must be above 0.";
        }
        return "";
    }

    private void takeService(HttpExchange exchange) {
        String rest = exchange.uri().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String key = exchange.header("Idempotency-Key").orElse("");
        if (name.isEmpty() || key.length() > LONGEST_KEY) {
            refuse(
                    exchange,
                    ResultCode.INVALID_REQUEST,
                    name.isEmpty()
                            ? "The path names no service."
                            : "The Idempotency-Key is longer than " + LONGEST_KEY + " characters.");
            return;
        }
        long deadline;
        try {
            deadline = exchange.header("X-Deadline-Millis").map(Long::parseLong).orElse(serviceMillis);
        } catch (NumberFormatException e) {
            refuse(exchange, ResultCode.INVALID_REQUEST, "X-Deadline-Millis is no whole number.");
            return;
        }
        RequestId request = newRequest();
        String received = exchange.header("traceparent").orElse("");
        Open opened = remember(exchange, request, writer.new Relayed(exchange), "service", received);
        ServiceCall call = new ServiceCall(
                name,
                exchange.method(),
                slash < 0 ? "/" : rest.substring(slash),
                exchange.header("Content-Type").orElse("application/octet-stream"),
                exchange.body(),
                key,
                deadline,
                Traces.traceparent(opened.span, received));
        inputs.accept(new Input.ServiceArrived(request, apiKey(exchange), call));
    }

    private RequestId newRequest() {
        return new RequestId(requestPrefix + serial.incrementAndGet());
    }

    private Open remember(
            HttpExchange exchange, RequestId request, CallerConnection connection, String kind, String traceparent) {
        Span span = traces.begin("request " + kind, SpanKind.SERVER, traceparent);
        Open opened = new Open(connection, span, clock.nowMillis());
        open.put(request, opened);
        exchange.onClose(() -> {
            if (open.remove(request) != null) {
                span.end();
                inputs.accept(new Input.CallerLeft(request));
            }
        });
        return opened;
    }

    private static String apiKey(HttpExchange exchange) {
        String header = exchange.header("Authorization").orElse("");
        return header.startsWith("Bearer ")
                ? header.substring("Bearer ".length()).strip()
                : "";
    }

    private void refuse(HttpExchange exchange, ResultCode code, String detail) {
        metrics.count("refusals." + code.number(), 1);
        writer.sendRefusal(exchange, new CallerAnswer.Refusal(code, detail, 0));
    }

    /**
     * Writes an answer, or a part of one, to its caller.
     *
     * @param request the request
     * @param answer the answer
     */
    public void answer(RequestId request, CallerAnswer answer) {
        Open opened = open.get(request);
        if (opened == null) {
            return;
        }
        if (!opened.begun) {
            opened.begun = true;
            metrics.time("time.first-byte", clock.nowMillis() - opened.arrivedMillis);
        }
        if (opened.connection.write(answer)) {
            open.remove(request);
            opened.span.end();
        }
    }
}
