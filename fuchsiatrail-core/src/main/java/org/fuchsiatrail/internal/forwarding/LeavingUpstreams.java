package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.UpstreamId;

/**
 * The incarnations of upstreams that said in an answer, to any router, that they are leaving.
 *
 * <p>Such an upstream receives no new requests, as if its entry in the store said that it is draining. An upstream that
 * starts again under the same id is another incarnation.
 */
final class LeavingUpstreams {

    /** How long an incarnation is remembered after its entry was removed, in milliseconds. */
    private static final long RETENTION_MILLIS = 600_000;

    private static final long EXPIRY_INTERVAL_MILLIS = 10_000;

    private final ForwardingContext context;
    private final Map<UpstreamId, Long> lastSeenAtMillis = new HashMap<>();
    private List<UpstreamId> unsentReports = new ArrayList<>();
    private long nextExpiryAtMillis;

    LeavingUpstreams(ForwardingContext context) {
        this.context = context;
    }

    /** Records an answer in which an upstream says that it is leaving. */
    void observe(UpstreamId incarnation) {
        if (record(incarnation, "answer")) {
            unsentReports.add(incarnation);
        }
    }

    /** Records a peer's report; returns whether it is new. */
    boolean receive(UpstreamId incarnation) {
        return record(incarnation, "peer");
    }

    boolean contains(UpstreamState upstream) {
        return lastSeenAtMillis.containsKey(upstream.incarnationId());
    }

    /** Removes and returns the reports that have not been sent to peers yet. */
    List<UpstreamId> drainUnsent() {
        List<UpstreamId> drained = unsentReports;
        unsentReports = new ArrayList<>();
        return drained;
    }

    boolean hasUnsent() {
        return !unsentReports.isEmpty();
    }

    private boolean record(UpstreamId incarnation, String source) {
        if (lastSeenAtMillis.put(incarnation, context.now()) != null) {
            return false;
        }
        context.count("upstreams.leaving");
        context.log("upstreams", "Upstream says that it is leaving.", "upstream", incarnation, "source", source);
        return true;
    }

    /** Forgets incarnations that have not been registered for a while. */
    void run(Collection<UpstreamState> registered) {
        if (context.now() >= nextExpiryAtMillis) {
            nextExpiryAtMillis = context.now() + EXPIRY_INTERVAL_MILLIS;
            registered.forEach(upstream -> lastSeenAtMillis.computeIfPresent(
                    upstream.incarnationId(), (incarnation, atMillis) -> context.now()));
            lastSeenAtMillis.values().removeIf(atMillis -> context.now() - atMillis > RETENTION_MILLIS);
        }
    }
}
