package org.fuchsiatrail.standins.server;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiatrail.wire.client.ServiceClient;
import org.fuchsiatrail.wire.http.HttpExchange;

/** A stand-in plain service that counts how often it ran each idempotency key. */
public final class ServiceServer extends StandinServer {

    private static final long STEP_MILLIS = 100;

    private final String name;
    private final Map<String, Integer> runs = new TreeMap<>();
    private long serial;

    /**
     * Starts the service.
     *
     * @param address where to listen
     * @param name its name in answers
     */
    public ServiceServer(InetSocketAddress address, String name) {
        this.name = name;
        listen(address, STEP_MILLIS);
    }

    @Override
    void step() {
        // A plain service has nothing to do between calls.
    }

    @Override
    Object state() {
        return Map.of("runs", runs);
    }

    @Override
    void answer(HttpExchange exchange) {
        String key = exchange.header("Idempotency-Key").orElse("none");
        runs.merge(exchange.method() + " " + exchange.path() + " " + key, 1, Integer::sum);
        serial++;
        if (faults.losesAnswer()) {
            exchange.abort();
            return;
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", name);
        body.put("method", exchange.method());
        body.put("path", exchange.uri());
        body.put("serial", serial);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put(
                ServiceClient.REQUEST_HEADER,
                exchange.header(ServiceClient.REQUEST_HEADER).orElse(""));
        exchange.respond(200, headers, bytes(body));
    }
}
