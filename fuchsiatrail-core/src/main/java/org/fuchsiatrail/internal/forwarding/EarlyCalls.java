package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardedCall;

/**
 * Requests that arrive between a router's start and its first configuration.
 *
 * <p>Load pattern: all routers start at once under full load. Callers connect as soon as the port is open, while the
 * configuration is being read; a refusal would send all of them away for a moment and back together.
 */
final class EarlyCalls {

    /** How long a request is held, in milliseconds; reading the configuration takes about 130 ms after a cold start. */
    private static final long HOLD_MILLIS = 250;

    /** How long after its start a router holds requests, in milliseconds; after that, the store is away for longer. */
    private static final long START_MILLIS = 1_000;

    /** The most requests that are held; a second of a busy router's requests. */
    private static final int MOST_HELD = 200;

    private final ForwardingContext context;
    private final Map<RequestId, Held> held = new LinkedHashMap<>();

    private record Held(ForwardedCall call, long untilMillis) {}

    /**
     * A request whose time has come.
     *
     * @param request the request
     * @param call what it asks
     */
    record Released(RequestId request, ForwardedCall call) {}

    EarlyCalls(ForwardingContext context) {
        this.context = context;
    }

    /** Holds a request, if it came soon enough after the start. */
    boolean hold(RequestId request, ForwardedCall call) {
        if (context.ageMillis() > START_MILLIS || context.stopping() || held.size() >= MOST_HELD) {
            return false;
        }
        long until = context.now() + HOLD_MILLIS;
        held.put(request, new Held(call, until));
        context.wakeAt(until);
        return true;
    }

    void callerLeft(RequestId request) {
        held.remove(request);
    }

    /** Takes out all requests once there is a configuration, and those that were held long enough. */
    List<Released> release(boolean configured) {
        List<Released> released = new ArrayList<>();
        Iterator<Map.Entry<RequestId, Held>> entries = held.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<RequestId, Held> entry = entries.next();
            if (configured
                    || context.stopping()
                    || context.now() >= entry.getValue().untilMillis()) {
                released.add(new Released(entry.getKey(), entry.getValue().call()));
                entries.remove();
            }
        }
        return released;
    }

    int open() {
        return held.size();
    }
}
