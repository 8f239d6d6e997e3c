package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.RequestedPause;

/**
 * Keeps requests away from upstreams that turned one away and asked for a pause.
 *
 * <p>Load pattern: an upstream in need turns away what every router sends, and each of these requests costs a retry. A
 * pause binds the router that received it. The others learn of it and select the upstream only when there is no other,
 * so that most of them never receive a refusal of their own. After the end each router does the same for a random time,
 * so that a large fleet returns gradually, and sends a single request first.
 */
final class RequestedPauses {

    /** The longest pause that an upstream may ask for at a time, in milliseconds. */
    private static final long MAXIMUM_PAUSE_MILLIS = 600_000;

    /** The fraction of a pause over which routers return. */
    private static final double RETURN_FRACTION = 0.5;

    /** The time for each router over which they return to an upstream with one slot; half its slots in a second. */
    private static final double RETURN_MILLIS_PER_ROUTER = 2_000;

    /** The longest time over which routers return, in milliseconds. */
    private static final long MAXIMUM_RETURN_MILLIS = 15_000;

    /** How long the first request after a pause keeps back others if it gets no answer, in milliseconds. */
    private static final long TRIAL_MILLIS = 500;

    /** The least time by which a report must extend a pause to be passed on, in milliseconds. */
    private static final long MINIMUM_RENEWAL_MILLIS = 500;

    /** How long a pause is remembered after routers have returned, in milliseconds. */
    private static final long RETENTION_MILLIS = 60_000;

    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final Map<UpstreamId, Pause> pauses = new HashMap<>();
    private List<PeerMessage.SeenPause> unsentReports = new ArrayList<>();
    private long nextExpiryAtMillis;

    /** Whether an upstream may receive a request. */
    enum Permission {
        GRANTED,
        /** Only if no other upstream is usable. */
        LAST_RESORT,
        DENIED
    }

    private static final class Pause {
        /** The end of the pause that binds this router, in milliseconds. */
        private long endAtMillis = Long.MIN_VALUE;
        /** The end of the pause that binds any router, as far as known, in milliseconds. */
        private long knownEndAtMillis = Long.MIN_VALUE;
        /** The length of the latest pause, in milliseconds. */
        private long lengthMillis;
        /** Until when the first request after the pause keeps back others, in milliseconds. */
        private long trialUntilMillis = Long.MIN_VALUE;
        /** The point of this router in the time over which all return, 0 to 1. */
        private final double returnPoint;

        private boolean unusualLogged;
        private long lastUsedAtMillis;

        private Pause(double returnPoint) {
            this.returnPoint = returnPoint;
        }
    }

    RequestedPauses(ForwardingContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Applies the pause that an upstream asked for in an answer to this router. */
    void observe(UpstreamId incarnation, RequestedPause requested) {
        Pause pause = pause(incarnation);
        OptionalLong millis = requested.millis();
        if (millis.isEmpty() || millis.getAsLong() > MAXIMUM_PAUSE_MILLIS) {
            logUnusual(incarnation, pause, requested);
        }
        if (millis.orElse(0) == 0) {
            return;
        }
        long boundedMillis = Math.min(millis.getAsLong(), MAXIMUM_PAUSE_MILLIS);
        pause.endAtMillis = Math.max(pause.endAtMillis, context.now() + boundedMillis);
        if (extend(incarnation, pause, boundedMillis, "answer")) {
            unsentReports.add(new PeerMessage.SeenPause(incarnation, boundedMillis));
        }
    }

    /** Records an answer of an upstream that asks for no pause. */
    void accepted(UpstreamId incarnation) {
        Pause pause = pauses.get(incarnation);
        if (pause == null) {
            return;
        }
        pause.trialUntilMillis = Long.MIN_VALUE;
        if (context.now() >= pause.knownEndAtMillis) {
            pauses.remove(incarnation);
        }
    }

    /** Applies a peer's report, which does not bind this router; returns whether other routers should receive it. */
    boolean receive(PeerMessage.SeenPause report) {
        long millis = Math.min(report.millisLeft(), MAXIMUM_PAUSE_MILLIS);
        return millis > 0 && extend(report.upstream(), pause(report.upstream()), millis, "peer");
    }

    private Pause pause(UpstreamId incarnation) {
        Pause pause = pauses.computeIfAbsent(
                incarnation, id -> new Pause(context.random().nextDouble()));
        pause.lastUsedAtMillis = context.now();
        return pause;
    }

    /** Extends a pause as known to any router; returns whether that is news to peers. */
    private boolean extend(UpstreamId incarnation, Pause pause, long millis, String source) {
        boolean known = context.now() < pause.knownEndAtMillis;
        boolean news = !known || context.now() + millis >= pause.knownEndAtMillis + MINIMUM_RENEWAL_MILLIS;
        pause.knownEndAtMillis = Math.max(pause.knownEndAtMillis, context.now() + millis);
        pause.lengthMillis = millis;
        if (!known) {
            context.count("upstreams.pauses");
            context.log(
                    "upstreams",
                    "Upstream asks for a pause.",
                    "upstream",
                    incarnation,
                    "source",
                    source,
                    "millis",
                    millis);
        }
        return news;
    }

    private void logUnusual(UpstreamId incarnation, Pause pause, RequestedPause requested) {
        if (!pause.unusualLogged) {
            pause.unusualLogged = true;
            context.log(
                    "upstreams",
                    requested.millis().isPresent()
                            ? "Pause that an upstream asks for exceeds the bound; shortened."
                            : "Pause that an upstream asks for is unreadable; ignored.",
                    "upstream",
                    incarnation,
                    "retryAfter",
                    requested.text());
        }
    }

    /** Returns whether an upstream may receive a request of this router now. */
    Permission permission(UpstreamState upstream) {
        Pause pause = pauses.get(upstream.incarnationId());
        if (pause == null) {
            return Permission.GRANTED;
        }
        if (context.now() < Math.max(pause.endAtMillis, pause.trialUntilMillis)) {
            return Permission.DENIED;
        }
        return context.now() < returnAtMillis(pause, upstream) ? Permission.LAST_RESORT : Permission.GRANTED;
    }

    /** Returns when this router returns, in milliseconds. */
    private long returnAtMillis(Pause pause, UpstreamState upstream) {
        if (context.now() < pause.knownEndAtMillis) {
            return pause.knownEndAtMillis;
        }
        double millisByRouters = RETURN_MILLIS_PER_ROUTER * replica.memberCount() / Math.max(1, upstream.entry.slots());
        double spreadMillis = Math.max(pause.lengthMillis * RETURN_FRACTION, millisByRouters);
        return pause.knownEndAtMillis + (long) (pause.returnPoint * Math.min(spreadMillis, MAXIMUM_RETURN_MILLIS));
    }

    /** Returns how long the pause that binds this router lasts, in milliseconds, or 0. */
    long millisLeft(UpstreamState upstream) {
        Pause pause = pauses.get(upstream.incarnationId());
        return pause == null ? 0 : Math.max(0, pause.endAtMillis - context.now());
    }

    /** Keeps back further requests until a request that was sent after a pause is answered. */
    void recordSend(UpstreamState upstream) {
        Pause pause = pauses.get(upstream.incarnationId());
        if (pause != null && pause.knownEndAtMillis > Long.MIN_VALUE) {
            pause.trialUntilMillis = context.now() + TRIAL_MILLIS;
        }
    }

    /** Removes and returns the reports that have not been sent to peers yet. */
    List<PeerMessage.SeenPause> drainUnsent() {
        List<PeerMessage.SeenPause> drained = unsentReports;
        unsentReports = new ArrayList<>();
        return drained;
    }

    boolean hasUnsent() {
        return !unsentReports.isEmpty();
    }

    void run() {
        if (context.now() >= nextExpiryAtMillis) {
            nextExpiryAtMillis = context.now() + EXPIRY_INTERVAL_MILLIS;
            pauses.values()
                    .removeIf(pause -> context.now()
                            > Math.max(pause.lastUsedAtMillis, pause.knownEndAtMillis) + RETENTION_MILLIS);
        }
    }
}
