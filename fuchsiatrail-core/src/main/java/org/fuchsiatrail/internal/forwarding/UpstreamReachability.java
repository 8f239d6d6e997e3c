package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Logs when all upstreams of a service are silent, when this router loses contact with all of them, and when it regains
 * it.
 */
final class UpstreamReachability {

    /** Interval between two checks, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 500;

    /** How long upstreams that did not fail may be silent before the contact counts as lost, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_500;

    private final ForwardingContext context;
    private final UpstreamTable upstreams;
    private final Map<String, Long> lostSinceMillis = new HashMap<>();
    private final Set<String> silentServices = new HashSet<>();
    private long nextCheckAtMillis;

    private static final class Counts {
        private int registered;
        private int suspected;
        private int failed;
        private long lastContactAtMillis = Long.MIN_VALUE / 2;
    }

    UpstreamReachability(ForwardingContext context, UpstreamTable upstreams) {
        this.context = context;
        this.upstreams = upstreams;
    }

    void run() {
        if (context.now() < nextCheckAtMillis) {
            return;
        }
        nextCheckAtMillis = context.now() + CHECK_INTERVAL_MILLIS;
        Map<String, Counts> countsByService = new HashMap<>();
        for (UpstreamState upstream : upstreams.all()) {
            if (upstreams.isActive(upstream)) {
                Counts counts = countsByService.computeIfAbsent(upstream.entry.service(), key -> new Counts());
                counts.registered++;
                counts.suspected += upstream.isSuspected(context.now()) ? 1 : 0;
                counts.failed += upstream.isInBackoff(context.now()) ? 1 : 0;
                counts.lastContactAtMillis = Math.max(counts.lastContactAtMillis, upstream.lastContactAtMillis);
            }
        }
        lostSinceMillis.keySet().retainAll(countsByService.keySet());
        silentServices.retainAll(countsByService.keySet());
        countsByService.forEach(this::compare);
    }

    private void compare(String service, Counts counts) {
        boolean suspected = counts.suspected == counts.registered;
        long millisSinceContact = Math.min(context.uptimeMillis(), context.now() - counts.lastContactAtMillis);
        boolean silent = suspected && counts.failed < counts.registered && millisSinceContact < SILENCE_MILLIS;
        boolean lost = suspected && !silent;
        compareSilence(service, silent, counts, millisSinceContact);
        boolean knownAsLost = lostSinceMillis.containsKey(service);
        if (lost && !knownAsLost) {
            lostSinceMillis.put(service, context.now());
            context.count("upstreams.contact-lost");
            context.log(
                    "upstreams",
                    "Contact with all upstreams of a service lost.",
                    "service",
                    service,
                    "registered",
                    counts.registered,
                    "millisSinceContact",
                    millisSinceContact);
        } else if (!lost && knownAsLost) {
            context.log(
                    "upstreams",
                    "Contact with an upstream of a service regained.",
                    "service",
                    service,
                    "lostMillis",
                    context.now() - lostSinceMillis.remove(service));
        }
    }

    private void compareSilence(String service, boolean silent, Counts counts, long millisSinceContact) {
        if (!silent) {
            silentServices.remove(service);
        } else if (silentServices.add(service)) {
            context.count("upstreams.all-silent");
            context.log(
                    "upstreams",
                    "All upstreams of a service are silent.",
                    "service",
                    service,
                    "registered",
                    counts.registered,
                    "millisSinceContact",
                    millisSinceContact);
        }
    }
}
