package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;

/** Probes engines for their state; each probe is paid, so one engine is probed at most every so often. */
final class EngineProbes {

    /** The least time between two probes of one engine, in milliseconds; engines report 200 ms late. */
    private static final long SHORTEST_GAP_MILLIS = 200;

    private final ForwardingContext context;
    private final Map<UpstreamId, Long> sentAtMillis = new HashMap<>();

    EngineProbes(ForwardingContext context) {
        this.context = context;
    }

    /** Probes an engine unless that was done just before; tells whether it did. */
    boolean send(UpstreamState engine) {
        Long before = sentAtMillis.get(engine.id());
        if (before != null && context.now() - before < SHORTEST_GAP_MILLIS) {
            return false;
        }
        sentAtMillis.put(engine.id(), context.now());
        context.emit(new ForwardingOutput.QueryEngineState(engine.id(), engine.entry.address()));
        return true;
    }
}
