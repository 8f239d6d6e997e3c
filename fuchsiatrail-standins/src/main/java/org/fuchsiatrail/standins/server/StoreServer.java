package org.fuchsiatrail.standins.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.standins.model.StoreModel;
import org.fuchsiatrail.wire.http.HttpExchange;

/** Serves a {@link StoreModel}, the platform's key-value store and list of VMs, over HTTP. */
public final class StoreServer extends StandinServer {

    private static final long ADVANCE_INTERVAL_MILLIS = 10;

    private final StoreModel model = new StoreModel();

    /**
     * Starts the store and listens.
     *
     * @param address the address to listen on
     */
    public StoreServer(InetSocketAddress address) {
        listen(address, ADVANCE_INTERVAL_MILLIS);
    }

    @Override
    void advance() {
        model.advance(clock.nowMillis());
    }

    @Override
    Object state() {
        return Map.of("reads", model.reads(), "writes", model.writes());
    }

    @Override
    void handle(HttpExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/v1/store" -> {
                StoreRequest request = jsonMapper.readValue(exchange.body(), StoreRequest.class);
                model.call(clock.nowMillis(), request, result -> sendResult(exchange, result));
            }
            case "/v1/vms" -> {
                model.setVms(List.of(jsonMapper.readValue(exchange.body(), EntryVm[].class)));
                sendText(exchange, 200, "");
            }
            default -> sendText(exchange, 404, "There is nothing at this path.\n");
        }
    }

    private void sendResult(HttpExchange exchange, StoreResult result) {
        try {
            byte[] body = jsonMapper.writerFor(StoreResult.class).writeValueAsBytes(result);
            if (faults.consumeLostResponse()) {
                exchange.abort();
            } else {
                exchange.respond(200, Map.of("Content-Type", "application/json"), body);
            }
        } catch (IOException e) {
            exchange.abort();
        }
    }
}
