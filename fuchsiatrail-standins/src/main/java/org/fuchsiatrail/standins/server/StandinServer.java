package org.fuchsiatrail.standins.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.http.HttpLimits;
import org.fuchsiatrail.wire.http.HttpListener;

/** The base of the stand-in processes: one HTTP port, one thread for the model, and faults set by control calls. */
abstract class StandinServer implements AutoCloseable {

    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

    final Clock clock = SystemTime.CLOCK;
    final ObjectMapper jsonMapper = WireMapper.json();
    final InjectedFaults faults = new InjectedFaults();
    private final ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(1);
    private final EventLoopGroup eventLoopGroup = new NioEventLoopGroup(2);
    private HttpListener listener;
    private long frozenUntilMillis;

    final void listen(InetSocketAddress address, long advanceIntervalMillis) {
        listener = HttpListener.listen(eventLoopGroup, address, HttpLimits.internal(), null, this::dispatch);
        executor.scheduleAtFixedRate(
                this::advanceUnlessFrozen, advanceIntervalMillis, advanceIntervalMillis, TimeUnit.MILLISECONDS);
    }

    final int port() {
        return listener.port();
    }

    /** Handles a request; called on the model's thread. */
    abstract void handle(HttpExchange exchange) throws IOException;

    /** Advances the model to the current time; called on the model's thread. */
    abstract void advance();

    private void advanceUnlessFrozen() {
        if (!isFrozen()) {
            advance();
        }
    }

    private boolean isFrozen() {
        return clock.nowMillis() < frozenUntilMillis;
    }

    private void dispatch(HttpExchange exchange) {
        if (exchange.path().equals("/control")) {
            executor.execute(() -> handleControl(exchange));
        } else if (faults.dropsConnections()) {
            exchange.abort();
        } else {
            executor.schedule(() -> handleWhenNotFrozen(exchange), faults.delayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("GET")) {
            sendJson(exchange, 200, state());
            return;
        }
        faults.apply(exchange)
                .ifPresentOrElse(error -> sendText(exchange, 400, error), () -> sendText(exchange, 200, "done\n"));
        long freezeMillis = faults.consumeFreezeMillis();
        if (freezeMillis > 0) {
            frozenUntilMillis = clock.nowMillis() + freezeMillis;
        }
        if (faults.isCrashRequested()) {
            Runtime.getRuntime().halt(137);
        }
    }

    /** Returns the state that a {@code GET} control call responds with. */
    abstract Object state();

    private void handleWhenNotFrozen(HttpExchange exchange) {
        if (isFrozen()) {
            executor.schedule(
                    () -> handleWhenNotFrozen(exchange), frozenUntilMillis - clock.nowMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        try {
            handle(exchange);
        } catch (IOException | RuntimeException e) {
            sendText(exchange, 400, "The request is malformed: " + e.getMessage() + "\n");
        }
    }

    final void sendJson(HttpExchange exchange, int status, Object value) {
        if (faults.consumeLostResponse()) {
            exchange.abort();
            return;
        }
        exchange.respond(status, JSON_HEADERS, toJsonBytes(value));
    }

    final void sendText(HttpExchange exchange, int status, String text) {
        exchange.respond(status, Map.of("Content-Type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
    }

    final byte[] toJsonBytes(Object value) {
        try {
            return jsonMapper.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
        listener.close();
        eventLoopGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
