package org.fuchsiatrail.daemon.operators;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.daemon.callers.ErrorBody;
import org.fuchsiatrail.daemon.settings.SettingKey;
import org.fuchsiatrail.daemon.settings.Settings;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.http.HttpHandler;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * Serves operators: one path for all types of {@link OperatorRequest}, and paths for health, readiness and metrics.
 *
 * <p>Health and readiness need no token, so that a load balancer can check them.
 */
public final class OperatorServer implements HttpHandler {

    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

    private final ObjectMapper json = WireMapper.json();
    private final Map<Long, HttpExchange> openCalls = new ConcurrentHashMap<>();
    private final AtomicLong serial = new AtomicLong();
    private final String token;
    private final Consumer<Input> inputs;
    private final BooleanSupplier ready;
    private final RouterMetrics metrics;

    /**
     * Creates a request handler; it opens no port itself.
     *
     * @param settings the settings
     * @param inputs receives the inputs for the core
     * @param ready returns whether the router accepts requests
     * @param metrics the metrics to expose
     */
    public OperatorServer(Settings settings, Consumer<Input> inputs, BooleanSupplier ready, RouterMetrics metrics) {
        this.token = settings.text(SettingKey.OPERATORS_TOKEN);
        this.inputs = inputs;
        this.ready = ready;
        this.metrics = metrics;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals("/health")) {
            sendText(exchange, 200, "text/plain", "alive\n");
        } else if (exchange.path().equals("/ready")) {
            boolean isReady = ready.getAsBoolean();
            sendText(exchange, isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
        } else if (!isAuthorized(exchange)) {
            refuse(exchange, ResultCode.OPERATOR_UNAUTHORIZED, "");
        } else {
            handleAuthorized(exchange);
        }
    }

    private boolean isAuthorized(HttpExchange exchange) {
        String header = exchange.header("Authorization").orElse("");
        byte[] expected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(header.getBytes(StandardCharsets.UTF_8), expected);
    }

    private void handleAuthorized(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/v1/operator" -> submit(exchange);
            case "/metrics" ->
                sendText(exchange, 200, "text/plain; version=0.0.4; charset=utf-8", metrics.asPrometheus());
            case "/metrics.json" -> sendText(exchange, 200, "application/json", metrics.asJson());
            default -> refuse(exchange, ResultCode.NOT_FOUND, "Path: " + exchange.path() + ".");
        }
    }

    private void submit(HttpExchange exchange) {
        OperatorRequest request;
        try {
            request = json.readValue(exchange.body(), OperatorRequest.class);
        } catch (IOException | RuntimeException e) {
            refuse(exchange, ResultCode.INVALID_REQUEST, "The body is not an operator request.");
            return;
        }
        if (request == null) {
            refuse(exchange, ResultCode.INVALID_REQUEST, "The body is empty.");
            return;
        }
        long call = serial.incrementAndGet();
        openCalls.put(call, exchange);
        exchange.onDisconnect(() -> openCalls.remove(call));
        inputs.accept(new Input.OperatorAsked(call, request));
    }

    /**
     * Writes the answer to an operator request; does nothing when the operator has disconnected.
     *
     * @param call the number under which the request was submitted to the core
     * @param answer the answer
     */
    public void answer(long call, OperatorAnswer answer) {
        HttpExchange exchange = openCalls.get(call);
        if (exchange == null) {
            return;
        }
        int status = answer instanceof OperatorAnswer.Refused refused
                ? refused.code().httpStatus()
                : 200;
        try {
            exchange.respond(
                    status, JSON_HEADERS, json.writerFor(OperatorAnswer.class).writeValueAsBytes(answer));
        } catch (JsonProcessingException e) {
            exchange.abort();
        }
        openCalls.remove(call);
    }

    /**
     * Closes the connection of an operator request whose answer could not be written.
     *
     * @param call the number of the request
     */
    public void fail(long call) {
        HttpExchange failed = openCalls.remove(call);
        if (failed != null) {
            failed.abort();
        }
    }

    private void refuse(HttpExchange exchange, ResultCode code, String detail) {
        try {
            byte[] body = json.writeValueAsBytes(ErrorBody.of(code, detail, 0));
            exchange.respond(code.httpStatus(), JSON_HEADERS, body);
        } catch (JsonProcessingException e) {
            exchange.abort();
        }
    }

    private static void sendText(HttpExchange exchange, int status, String type, String text) {
        exchange.respond(status, Map.of("Content-Type", type), text.getBytes(StandardCharsets.UTF_8));
    }
}
