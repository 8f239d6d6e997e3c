package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardedCall;

/**
 * Queues requests that arrive between a router's start and its first configuration.
 *
 * <p>Load pattern: all routers start at once under full load. Callers connect as soon as the port is open, while the
 * configuration is still being read. Refusing these requests would make all callers retry at the same moment.
 */
final class StartupCallQueue {

    /**
     * How long a request is queued, in milliseconds; reading the configuration takes about 130 ms after a cold start.
     */
    private static final long MAXIMUM_WAIT_MILLIS = 250;

    /**
     * How long after its start a router queues requests, in milliseconds; without a configuration by then, the store
     * is unavailable for longer.
     */
    private static final long STARTUP_MILLIS = 1_000;

    /** The most queued requests; about the requests that a busy router receives in a second. */
    private static final int MAXIMUM_QUEUED = 200;

    private final ForwardingContext context;
    private final Map<RequestId, QueueEntry> entries = new LinkedHashMap<>();

    private record QueueEntry(ForwardedCall call, long expiresAtMillis) {}

    /**
     * A request that was taken out of the queue.
     *
     * @param request the request
     * @param call its content
     */
    record QueuedCall(RequestId request, ForwardedCall call) {}

    StartupCallQueue(ForwardingContext context) {
        this.context = context;
    }

    /** Queues a request; returns false when the start-up period is over, the router stops or the queue is full. */
    boolean offer(RequestId request, ForwardedCall call) {
        if (context.uptimeMillis() > STARTUP_MILLIS || context.stopping() || entries.size() >= MAXIMUM_QUEUED) {
            return false;
        }
        long expiresAtMillis = context.now() + MAXIMUM_WAIT_MILLIS;
        entries.put(request, new QueueEntry(call, expiresAtMillis));
        context.wakeAt(expiresAtMillis);
        return true;
    }

    void discard(RequestId request) {
        entries.remove(request);
    }

    /**
     * Returns the requests to process now: all of them once there is a configuration or the router is stopping,
     * otherwise those that have waited for the maximum time. Each is removed when the iteration reaches it, so that
     * those behind one that cannot be processed stay queued.
     */
    Iterable<QueuedCall> drain(boolean configured) {
        if (entries.isEmpty()) {
            return List.of();
        }
        List<RequestId> due = new ArrayList<>();
        entries.forEach((request, entry) -> {
            if (configured || context.stopping() || context.now() >= entry.expiresAtMillis()) {
                due.add(request);
            }
        });
        return () -> due.stream().map(this::take).iterator();
    }

    private QueuedCall take(RequestId request) {
        context.beginWorkOn(request);
        return new QueuedCall(request, entries.remove(request).call());
    }

    int queuedCalls() {
        return entries.size();
    }
}
