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

/** Converts callers' HTTP requests into inputs of the core, and the core's answers into HTTP responses. */
public final class CallerServer implements HttpHandler {

    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH = "/services/";
    private static final int DEFAULT_OUTPUT_TOKENS = 256;
    private static final int MAXIMUM_OUTPUT_TOKENS = 100_000;
    private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200;

    private final ObjectMapper json =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private final ResponseWriters responseWriters = new ResponseWriters();
    private final Map<RequestId, OpenRequest> openRequests = new ConcurrentHashMap<>();
    private final AtomicLong serial = new AtomicLong();
    private final String requestPrefix;
    private final long defaultFirstTokenMillis;
    private final long defaultServiceMillis;
    private final Clock clock;
    private final Consumer<Input> inputs;
    private final BooleanSupplier ready;
    private final RouterMetrics metrics;
    private final Traces traces;

    /**
     * Creates a request handler; it opens no port itself.
     *
     * @param settings the settings
     * @param incarnation the incarnation of this router process, a part of the request ids
     * @param clock the clock for response times
     * @param inputs receives the inputs for the core
     * @param ready returns whether the router accepts requests
     * @param metrics the metrics to update
     * @param traces creates the spans of requests
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
        this.defaultFirstTokenMillis = settings.integer(SettingKey.CALLERS_FIRST_TOKEN_MILLIS);
        this.defaultServiceMillis = settings.integer(SettingKey.CALLERS_SERVICE_MILLIS);
        this.clock = clock;
        this.inputs = inputs;
        this.ready = ready;
        this.metrics = metrics;
        this.traces = traces;
        metrics.gauge("requests.open", openRequests::size);
    }

    private static final class OpenRequest {
        private final ResponseWriter responseWriter;
        private final Span span;
        private final long receivedAtMillis;
        private boolean answerStarted;

        OpenRequest(ResponseWriter responseWriter, Span span, long receivedAtMillis) {
            this.responseWriter = responseWriter;
            this.span = span;
            this.receivedAtMillis = receivedAtMillis;
        }
    }

    @Override
    public void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals(CHAT_PATH)) {
            handleChat(exchange);
        } else if (path.startsWith(SERVICES_PATH)) {
            handleServiceCall(exchange);
        } else if (path.equals("/ready")) {
            exchange.respond(ready.getAsBoolean() ? 200 : 503, Map.of(), new byte[0]);
        } else {
            refuse(exchange, ResultCode.NOT_FOUND, "Path: " + path + ".");
        }
    }

    private void handleChat(HttpExchange exchange) {
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
        String validationError = validationError(body);
        if (!validationError.isEmpty()) {
            refuse(exchange, ResultCode.INVALID_REQUEST, validationError);
            return;
        }
        RequestId request = newRequestId();
        ResponseWriter responseWriter = body.stream()
                ? responseWriters.new EventStreamWriter(exchange, request, body.model())
                : responseWriters.new SingleBodyWriter(exchange, request, body.model());
        String receivedTraceparent = exchange.header("traceparent").orElse("");
        OpenRequest openRequest = registerRequest(exchange, request, responseWriter, "chat", receivedTraceparent);
        ChatCall call = chatCall(exchange, body, Traces.traceparent(openRequest.span, receivedTraceparent));
        inputs.accept(new Input.ChatArrived(request, apiKey(exchange), call));
    }

    private ChatCall chatCall(HttpExchange exchange, ChatBody body, String traceparent) {
        return new ChatCall(
                body.model(),
                body.adapter() == null ? "" : body.adapter(),
                body.cacheScope() == null ? "" : body.cacheScope(),
                body.promptText(),
                body.outputTokenLimit(DEFAULT_OUTPUT_TOKENS),
                body.firstTokenMillis() == null ? defaultFirstTokenMillis : body.firstTokenMillis(),
                body.priority() == null ? 0 : body.priority(),
                body.stream() ? exchange.header("Last-Event-ID").orElse("") : "",
                traceparent);
    }

    private static String validationError(ChatBody body) {
        if (body == null || body.model() == null || body.model().isBlank()) {
            return "The field model is missing.";
        }
        if (body.promptText().isEmpty()) {
            return "Neither messages nor prompt holds a text.";
        }
        int tokens = body.outputTokenLimit(DEFAULT_OUTPUT_TOKENS);
        if (tokens < 1 || tokens > MAXIMUM_OUTPUT_TOKENS) {
            return "The field max_tokens must be from 1 to " + MAXIMUM_OUTPUT_TOKENS + ".";
        }
        if (body.priority() != null && (body.priority() < 0 || body.priority() > 9)) {
            return "The field priority must be from 0 to 9.";
        }
        if (body.firstTokenMillis() != null && body.firstTokenMillis() < 1) {
            return "The field first_token_ms must be above 0.";
        }
        return "";
    }

    private void handleServiceCall(HttpExchange exchange) {
        String servicePath = exchange.uri().substring(SERVICES_PATH.length());
        int slash = servicePath.indexOf('/');
        String name = slash < 0 ? servicePath : servicePath.substring(0, slash);
        String key = exchange.header("Idempotency-Key").orElse("");
        if (name.isEmpty() || key.length() > MAXIMUM_IDEMPOTENCY_KEY_LENGTH) {
            refuse(
                    exchange,
                    ResultCode.INVALID_REQUEST,
                    name.isEmpty()
                            ? "The path names no service."
                            : "The Idempotency-Key is longer than " + MAXIMUM_IDEMPOTENCY_KEY_LENGTH + " characters.");
            return;
        }
        long deadlineMillis;
        try {
            deadlineMillis =
                    exchange.header("X-Deadline-Millis").map(Long::parseLong).orElse(defaultServiceMillis);
        } catch (NumberFormatException e) {
            refuse(exchange, ResultCode.INVALID_REQUEST, "X-Deadline-Millis is no whole number.");
            return;
        }
        RequestId request = newRequestId();
        String receivedTraceparent = exchange.header("traceparent").orElse("");
        OpenRequest openRequest = registerRequest(
                exchange, request, responseWriters.new ServiceResponseWriter(exchange), "service", receivedTraceparent);
        ServiceCall call = new ServiceCall(
                name,
                exchange.method(),
                slash < 0 ? "/" : servicePath.substring(slash),
                exchange.header("Content-Type").orElse("application/octet-stream"),
                exchange.body(),
                key,
                deadlineMillis,
                Traces.traceparent(openRequest.span, receivedTraceparent));
        inputs.accept(new Input.ServiceArrived(request, apiKey(exchange), call));
    }

    private RequestId newRequestId() {
        return new RequestId(requestPrefix + serial.incrementAndGet());
    }

    private OpenRequest registerRequest(
            HttpExchange exchange, RequestId request, ResponseWriter responseWriter, String kind, String traceparent) {
        Span span = traces.beginSpan("request " + kind, SpanKind.SERVER, traceparent);
        OpenRequest openRequest = new OpenRequest(responseWriter, span, clock.nowMillis());
        openRequests.put(request, openRequest);
        exchange.onDisconnect(() -> {
            if (openRequests.remove(request) != null) {
                span.end();
                inputs.accept(new Input.CallerLeft(request));
            }
        });
        return openRequest;
    }

    private static String apiKey(HttpExchange exchange) {
        String header = exchange.header("Authorization").orElse("");
        return header.startsWith("Bearer ")
                ? header.substring("Bearer ".length()).strip()
                : "";
    }

    private void refuse(HttpExchange exchange, ResultCode code, String detail) {
        metrics.count("refusals." + code.number(), 1);
        responseWriters.sendRefusal(exchange, new CallerAnswer.Refusal(code, detail, 0));
    }

    /**
     * Writes an answer, or a part of one, to the caller of a request; does nothing when the caller has disconnected.
     *
     * @param request the request
     * @param answer the answer, or the next part of it
     */
    public void answer(RequestId request, CallerAnswer answer) {
        OpenRequest openRequest = openRequests.get(request);
        if (openRequest == null) {
            return;
        }
        if (!openRequest.answerStarted) {
            openRequest.answerStarted = true;
            metrics.time("time.first-byte", clock.nowMillis() - openRequest.receivedAtMillis);
        }
        if (openRequest.responseWriter.write(answer)) {
            openRequests.remove(request);
            openRequest.span.end();
        }
    }

    /**
     * Ends a request whose answer could not be written. It is reported as one that may have run.
     *
     * @param request the request
     */
    public void fail(RequestId request) {
        OpenRequest failed = openRequests.remove(request);
        if (failed == null) {
            return;
        }
        failed.span.end();
        metrics.count("refusals." + ResultCode.OUTCOME_UNKNOWN.number(), 1);
        failed.responseWriter.write(new CallerAnswer.Refusal(ResultCode.OUTCOME_UNKNOWN, "", 0));
    }
}
