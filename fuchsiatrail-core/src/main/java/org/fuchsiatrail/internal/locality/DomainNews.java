package org.fuchsiatrail.internal.locality;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.FailureDomain;

/** How old the news of the work in each failure domain may be, by when messages of its routers arrive. */
public final class DomainNews {

    /** The shortest interval that counts, in milliseconds; each router's own news come less often. */
    private static final double MINIMUM_INTERVAL_MILLIS = 200;

    /** How long after its last message a domain counts as heard directly, in milliseconds. */
    private static final long DIRECT_MILLIS = 3_000;

    /** By how much longer news take through a relay of the own domain, in milliseconds. */
    private static final double RELAY_MILLIS = 500;

    /** The greatest age that counts, in milliseconds. */
    private static final double MAXIMUM_MILLIS = 10_000;

    private static final double SMOOTHING = 0.2;

    private final FailureDomain ownDomain;
    private final Map<FailureDomain, Heard> heardByDomain = new HashMap<>();

    private record Heard(long atMillis, double intervalMillis) {

        double ageMillis(long nowMillis) {
            return Math.max(nowMillis - atMillis, Math.max(MINIMUM_INTERVAL_MILLIS, intervalMillis));
        }
    }

    public DomainNews(FailureDomain ownDomain) {
        this.ownDomain = ownDomain;
    }

    /** Records a message of a router of a domain. */
    public void heard(FailureDomain domain, long nowMillis) {
        Heard before = heardByDomain.getOrDefault(domain, new Heard(nowMillis, 0));
        long gapMillis = nowMillis - before.atMillis();
        // A gap beyond which the domain counts as not heard is no interval between its messages.
        double changeMillis = gapMillis > DIRECT_MILLIS ? 0 : SMOOTHING * (gapMillis - before.intervalMillis());
        heardByDomain.put(domain, new Heard(nowMillis, before.intervalMillis() + changeMillis));
    }

    /** Returns the age of what is known of a domain, in milliseconds; 0 for a router that hears of no other. */
    public double ageMillis(FailureDomain domain, long nowMillis) {
        Heard direct = heardByDomain.get(domain);
        if (direct != null && nowMillis - direct.atMillis() <= DIRECT_MILLIS) {
            return direct.ageMillis(nowMillis);
        }
        Heard relayed = heardByDomain.get(ownDomain);
        if (relayed != null) {
            return Math.min(MAXIMUM_MILLIS, relayed.ageMillis(nowMillis) + RELAY_MILLIS);
        }
        return direct == null ? 0 : Math.min(MAXIMUM_MILLIS, direct.ageMillis(nowMillis));
    }
}
