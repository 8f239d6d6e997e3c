package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;

/** Asks engines for their state; each question is paid, so one engine is asked at most every so often. */
final class EngineStates {

    /** The least time between two questions to one engine, in milliseconds; engines report 200 ms late. */
    private static final long SHORTEST_GAP_MILLIS = 200;

    private final ForwardingContext context;
    private final Map<UpstreamId, Long> askedAtMillis = new HashMap<>();

    EngineStates(ForwardingContext context) {
        this.context = context;
    }

    /** Asks an engine unless it was asked just before; tells whether it asked. */
    boolean ask(ForwardedUpstream engine) {
        Long before = askedAtMillis.get(engine.id());
        if (before != null && context.now() - before < SHORTEST_GAP_MILLIS) {
            return false;
        }
        askedAtMillis.put(engine.id(), context.now());
        context.emit(new ForwardingOutput.AskState(engine.id(), engine.entry.address()));
        return true;
    }
}
