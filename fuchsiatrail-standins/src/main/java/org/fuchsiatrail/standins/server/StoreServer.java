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

/** The stand-in of the platform's key-value service, with its list of VMs, as a process. */
public final class StoreServer extends StandinServer {

    private static final long STEP_MILLIS = 10;

    private final StoreModel model = new StoreModel();

    /**
     * Starts the store.
     *
     * @param address where to listen
     */
    public StoreServer(InetSocketAddress address) {
        listen(address, STEP_MILLIS);
    }

    @Override
    void step() {
        model.advance(clock.nowMillis());
    }

    @Override
    Object state() {
        return Map.of("reads", model.reads(), "writes", model.writes());
    }

    @Override
    void answer(HttpExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/v1/store" -> {
                StoreRequest request = json.readValue(exchange.body(), StoreRequest.class);
                model.call(clock.nowMillis(), request, result -> send(exchange, result));
            }
            case "/v1/vms" -> {
                model.list(List.of(json.readValue(exchange.body(), EntryVm[].class)));
                sendText(exchange, 200, "");
            }
            default -> sendText(exchange, 404, "There is nothing at this path.\n");
        }
    }

    private void send(HttpExchange exchange, StoreResult result) {
        try {
            byte[] body = json.writerFor(StoreResult.class).writeValueAsBytes(result);
            if (faults.losesAnswer()) {
                exchange.abort();
            } else {
                exchange.respond(200, Map.of("Content-Type", "application/json"), body);
            }
        } catch (IOException e) {
            exchange.abort();
        }
    }
}
