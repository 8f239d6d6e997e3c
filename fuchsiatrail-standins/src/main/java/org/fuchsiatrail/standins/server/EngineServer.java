package org.fuchsiatrail.standins.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.standins.model.EngineModel;
import org.fuchsiatrail.standins.model.EngineTraits;
import org.fuchsiatrail.wire.client.EngineClient;
import org.fuchsiatrail.wire.http.HttpExchange;

/** Serves an {@link EngineModel} over HTTP. */
public final class EngineServer extends StandinServer {

    private static final long ADVANCE_INTERVAL_MILLIS = 2;
    private static final Map<String, String> STREAM_HEADERS = Map.of("Content-Type", "application/x-ndjson");

    private final EngineModel model;
    private final String poisonText;

    /**
     * Starts the engine and listens.
     *
     * @param address the address to listen on
     * @param traits the engine's configuration
     * @param poisonText a text that crashes the process when a prompt contains it, or an empty text
     */
    public EngineServer(InetSocketAddress address, EngineTraits traits, String poisonText) {
        this.model = new EngineModel(traits, SystemTime.CLOCK.nowMillis());
        this.poisonText = poisonText;
        listen(address, ADVANCE_INTERVAL_MILLIS);
    }

    @Override
    void advance() {
        model.advance(clock.nowMillis());
    }

    @Override
    Object state() {
        return Map.of("computedTokens", model.computedTokens(), "promptTokens", model.promptTokens());
    }

    @Override
    void handle(HttpExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/v1/run" -> run(exchange, jsonMapper.readValue(exchange.body(), EngineCall.class));
            case "/v1/cancel" -> {
                model.cancel(jsonMapper
                        .readValue(exchange.body(), EngineClient.Cancellation.class)
                        .request());
                sendText(exchange, 200, "");
            }
            case "/v1/load" -> sendJson(exchange, 200, model.load(clock.nowMillis()));
            case "/v1/cache-events" -> sendCacheEvents(exchange);
            case "/v1/drain" -> {
                model.setDraining(
                        exchange.queryParameter("leaving").orElse("true").equals("true"));
                sendText(exchange, 200, "");
            }
            case "/v1/orders" -> {
                EngineClient.LoadOrder order = jsonMapper.readValue(exchange.body(), EngineClient.LoadOrder.class);
                String reason =
                        model.acceptLoadOrder(clock.nowMillis(), order.order(), order.model(), order.fencingToken());
                sendText(exchange, reason.isEmpty() ? 200 : 409, reason);
            }
            default -> sendText(exchange, 404, "There is nothing at this path.\n");
        }
    }

    private void sendCacheEvents(HttpExchange exchange) {
        long from = Long.parseLong(exchange.queryParameter("from").orElse("0"));
        CacheEvents events = model.cacheEvents(from);
        if (faults.dropsCacheEvents()) {
            events = new CacheEvents(
                    events.engine(), events.incarnation(), events.nextSequence(), events.nextSequence(), List.of());
        }
        sendJson(exchange, 200, events);
    }

    private void run(HttpExchange exchange, EngineCall call) {
        if (!poisonText.isEmpty() && call.prompt().contains(poisonText)) {
            Runtime.getRuntime().halt(134);
        }
        exchange.beginStream(200, STREAM_HEADERS);
        exchange.onDisconnect(() -> model.cancel(call.request()));
        model.start(clock.nowMillis(), call, event -> sendEvent(exchange, event));
    }

    private void sendEvent(HttpExchange exchange, EngineEvent event) {
        try {
            byte[] line = jsonMapper.writerFor(EngineEvent.class).writeValueAsBytes(event);
            byte[] terminatedLine = Arrays.copyOf(line, line.length + 1);
            terminatedLine[line.length] = '\n';
            exchange.sendChunk(terminatedLine);
        } catch (IOException e) {
            exchange.abort();
            return;
        }
        if (event instanceof EngineEvent.Ended || event instanceof EngineEvent.Refused) {
            exchange.endStream();
        }
    }
}
