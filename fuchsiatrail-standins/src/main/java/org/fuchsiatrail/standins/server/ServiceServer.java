package org.fuchsiatrail.standins.server;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiatrail.wire.client.ServiceClient;
import org.fuchsiatrail.wire.http.HttpExchange;

/** A stand-in plain service that counts how often each method, path and idempotency key ran. */
public final class ServiceServer extends StandinServer {

    private static final long ADVANCE_INTERVAL_MILLIS = 100;

    private final String name;
    private final Map<String, Integer> runsByCall = new TreeMap<>();
    private long runCount;

    /**
     * Starts the service and listens.
     *
     * @param address the address to listen on
     * @param name the service's name in its responses
     */
    public ServiceServer(InetSocketAddress address, String name) {
        this.name = name;
        listen(address, ADVANCE_INTERVAL_MILLIS);
    }

    @Override
    void advance() {
        // A plain service does no work between calls.
    }

    @Override
    Object state() {
        return Map.of("runs", runsByCall);
    }

    @Override
    void handle(HttpExchange exchange) {
        String key = exchange.header("Idempotency-Key").orElse("none");
        runsByCall.merge(exchange.method() + " " + exchange.path() + " " + key, 1, Integer::sum);
        runCount++;
        if (faults.consumeLostResponse()) {
            exchange.abort();
            return;
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", name);
        body.put("method", exchange.method());
        body.put("path", exchange.uri());
        body.put("serial", runCount);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put(
                ServiceClient.REQUEST_HEADER,
                exchange.header(ServiceClient.REQUEST_HEADER).orElse(""));
        exchange.respond(200, headers, toJsonBytes(body));
    }
}
