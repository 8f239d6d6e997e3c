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

/** A stand-in process: one HTTP port, one thread of its own, and faults by control calls. */
abstract class StandinServer implements AutoCloseable {

    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

    final Clock clock = SystemTime.CLOCK;
    final ObjectMapper json = WireMapper.json();
    final Faults faults = new Faults();
    private final ScheduledExecutorService thread = new ScheduledThreadPoolExecutor(1);
    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private HttpListener listener;
    private long frozenUntilMillis;

    final void listen(InetSocketAddress address, long stepMillis) {
        listener = HttpListener.listen(group, address, HttpLimits.internal(), null, this::receive);
        thread.scheduleAtFixedRate(this::safeStep, stepMillis, stepMillis, TimeUnit.MILLISECONDS);
    }

    final int port() {
        return listener.port();
    }

    /** Answers a request; called on the stand-in's own thread. */
    abstract void answer(HttpExchange exchange) throws IOException;

    /** Does the work that is due; called on the stand-in's own thread. */
    abstract void step();

    private void safeStep() {
        if (!isFrozen()) {
            step();
        }
    }

    private boolean isFrozen() {
        return clock.nowMillis() < frozenUntilMillis;
    }

    private void receive(HttpExchange exchange) {
        if (exchange.path().equals("/control")) {
            thread.execute(() -> control(exchange));
        } else if (faults.isCut()) {
            exchange.abort();
        } else {
            thread.schedule(() -> safeAnswer(exchange), faults.delayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void control(HttpExchange exchange) {
        if (exchange.method().equals("GET")) {
            sendJson(exchange, 200, state());
            return;
        }
        faults.take(exchange)
                .ifPresentOrElse(fault -> sendText(exchange, 400, fault), () -> sendText(exchange, 200, "done\n"));
        long freeze = faults.takeFreezeMillis();
        if (freeze > 0) {
            frozenUntilMillis = clock.nowMillis() + freeze;
        }
        if (faults.isCrash()) {
            Runtime.getRuntime().halt(137);
        }
    }

    /** Returns what a control call may read. */
    abstract Object state();

    private void safeAnswer(HttpExchange exchange) {
        if (isFrozen()) {
            thread.schedule(() -> safeAnswer(exchange), frozenUntilMillis - clock.nowMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        try {
            answer(exchange);
        } catch (IOException | RuntimeException e) {
            sendText(exchange, 400, "The request is malformed: " + e.getMessage() + "\n");
        }
    }

    final void sendJson(HttpExchange exchange, int status, Object value) {
        if (faults.losesAnswer()) {
            exchange.abort();
            return;
        }
        exchange.respond(status, JSON_HEADERS, bytes(value));
    }

    final void sendText(HttpExchange exchange, int status, String text) {
        exchange.respond(status, Map.of("Content-Type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
    }

    final byte[] bytes(Object value) {
        try {
            return json.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
