package org.fuchsiatrail.internal.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;

/** Queries the state of engines. Each probe is a paid call, so probes of one engine are rate-limited. */
final class EngineProbes {

    /** The least time between two probes of one engine, in milliseconds; engines report their state 200 ms late. */
    private static final long MINIMUM_INTERVAL_MILLIS = 200;

    private final ForwardingContext context;
    private final Map<UpstreamId, Long> lastSentAtMillis = new HashMap<>();

    EngineProbes(ForwardingContext context) {
        this.context = context;
    }

    /** When an engine was last probed, in milliseconds; now if it never was. */
    long lastSentAtMillis(UpstreamState engine) {
        return lastSentAtMillis.getOrDefault(engine.id(), context.now());
    }

    /** Probes at most so many of some engines, those first whose last probe is longest ago. */
    void sendToSome(List<UpstreamState> engines, int limit) {
        engines.stream()
                .sorted(Comparator.comparingLong(engine -> lastSentAtMillis.getOrDefault(engine.id(), Long.MIN_VALUE)))
                .limit(limit)
                .forEach(this::send);
    }

    /** Probes an engine unless it was probed within the minimum interval; returns whether a probe was sent. */
    boolean send(UpstreamState engine) {
        Long previousMillis = lastSentAtMillis.get(engine.id());
        if (previousMillis != null && context.now() - previousMillis < MINIMUM_INTERVAL_MILLIS) {
            return false;
        }
        lastSentAtMillis.put(engine.id(), context.now());
        context.emit(new ForwardingOutput.QueryEngineState(engine.id(), engine.entry.address()));
        return true;
    }
}
