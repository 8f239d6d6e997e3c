package org.fuchsiatrail.standins.server;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiatrail.wire.http.HttpExchange;

/**
 * The faults that a control call sets on a stand-in.
 *
 * <p>{@code POST /control?freezeMillis=2000} sets one fault; each query parameter sets the fault of its name, and 0
 * clears it.
 */
final class InjectedFaults {

    private final Map<String, AtomicLong> values = new TreeMap<>();

    InjectedFaults() {
        for (String name : new String[] {"freezeMillis", "delayMillis", "cut", "loseAnswers", "loseEvents", "crash"}) {
            values.put(name, new AtomicLong());
        }
    }

    /** Applies the parameters of a control call; returns an error message when none of them is known. */
    Optional<String> apply(HttpExchange exchange) {
        boolean anyKnown = false;
        for (Map.Entry<String, AtomicLong> fault : values.entrySet()) {
            Optional<String> parameter = exchange.queryParameter(fault.getKey());
            if (parameter.isPresent()) {
                fault.getValue().set(Long.parseLong(parameter.get()));
                anyKnown = true;
            }
        }
        return anyKnown
                ? Optional.empty()
                : Optional.of("The query must have at least one parameter of " + values.keySet() + ".");
    }

    boolean dropsConnections() {
        return values.get("cut").get() != 0;
    }

    boolean isCrashRequested() {
        return values.get("crash").get() != 0;
    }

    long delayMillis() {
        return values.get("delayMillis").get();
    }

    long consumeFreezeMillis() {
        return values.get("freezeMillis").getAndSet(0);
    }

    boolean consumeLostResponse() {
        return values.get("loseAnswers").getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }

    boolean dropsCacheEvents() {
        return values.get("loseEvents").get() != 0;
    }
}
