package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.UpstreamId;

/** The incarnations of upstreams that said in an answer that they are leaving. */
final class LeavingUpstreams {

    /** How long an incarnation is remembered, in milliseconds; leaving upstreams end within a minute. */
    private static final long RETENTION_MILLIS = 600_000;

    private static final long EXPIRY_INTERVAL_MILLIS = 10_000;

    private final ForwardingContext context;
    private final Map<UpstreamId, Long> reportedAtMillis = new HashMap<>();
    private long nextExpiryAtMillis;

    LeavingUpstreams(ForwardingContext context) {
        this.context = context;
    }

    /** Records an answer in which an upstream says that it is leaving. */
    void observe(UpstreamId incarnation) {
        record(incarnation, "answer");
    }

    private boolean record(UpstreamId incarnation, String source) {
        if (reportedAtMillis.put(incarnation, context.now()) != null) {
            return false;
        }
        context.count("upstreams.leaving");
        context.log("upstreams", "Upstream says that it is leaving.", "upstream", incarnation, "source", source);
        return true;
    }

    void run() {
        if (context.now() >= nextExpiryAtMillis) {
            nextExpiryAtMillis = context.now() + EXPIRY_INTERVAL_MILLIS;
            reportedAtMillis.values().removeIf(atMillis -> context.now() - atMillis > RETENTION_MILLIS);
        }
    }
}
