package org.fuchsiatrail.standins.server;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiatrail.wire.http.HttpExchange;

/**
 * What a control call can make a stand-in do.
 *
 * <p>{@code POST /control?freezeMillis=2000} and so on; each parameter sets one field, 0 heals it.
 */
final class Faults {

    private final Map<String, AtomicLong> values = new TreeMap<>();

    Faults() {
        for (String name : new String[] {"freezeMillis", "delayMillis", "cut", "loseAnswers", "loseEvents", "crash"}) {
            values.put(name, new AtomicLong());
        }
    }

    /** Takes a control call; returns a message when it asks for something unknown. */
    Optional<String> take(HttpExchange exchange) {
        boolean known = false;
        for (Map.Entry<String, AtomicLong> value : values.entrySet()) {
            Optional<String> given = exchange.parameter(value.getKey());
            if (given.isPresent()) {
                value.getValue().set(Long.parseLong(given.get()));
                known = true;
            }
        }
        return known ? Optional.empty() : Optional.of("Expected one of " + values.keySet() + " in the query.");
    }

    boolean isCut() {
        return values.get("cut").get() != 0;
    }

    boolean isCrash() {
        return values.get("crash").get() != 0;
    }

    long delayMillis() {
        return values.get("delayMillis").get();
    }

    long takeFreezeMillis() {
        return values.get("freezeMillis").getAndSet(0);
    }

    boolean losesAnswer() {
        return values.get("loseAnswers").getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    boolean losesEvents() {
        return values.get("loseEvents").get() != 0;
    }
}
