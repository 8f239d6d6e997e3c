package org.fuchsiatrail.internal.locality;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.FailureDomain;

/**
 * What the way to each failure domain costs, learned from how much later than predicted its upstreams answer.
 *
 * <p>What an answer of the own domain is late as well is not the way's fault and is taken off.
 */
public final class DomainWays {

    /** The round trip to another domain of a region until answers tell, in milliseconds. */
    private static final double PRIOR_MILLIS = 4;

    /** The most that a way may cost, in milliseconds; a lost packet is repeated within a few hundred. */
    private static final double MAXIMUM_MILLIS = 1_000;

    /** Smoothing factor of the moving average, in which the last ten answers dominate. */
    private static final double SMOOTHING = 0.1;

    /** In which time without an answer a learned way falls by half, so that a mended way is tried again. */
    private static final double HALF_LIFE_MILLIS = 4_000;

    private final FailureDomain ownDomain;
    private final Map<FailureDomain, Lateness> latenessByDomain = new HashMap<>();

    private record Lateness(double millis, long atMillis) {

        double at(long nowMillis) {
            return millis * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
        }
    }

    public DomainWays(FailureDomain ownDomain) {
        this.ownDomain = ownDomain;
    }

    /** Records the time to the first event or the answer of a request in a domain beside the predicted one. */
    public void record(FailureDomain domain, double actualMillis, double predictedMillis, long nowMillis) {
        double lateMillis = Math.clamp(actualMillis - predictedMillis, -MAXIMUM_MILLIS, MAXIMUM_MILLIS);
        double beforeMillis = lateness(domain, nowMillis);
        latenessByDomain.put(domain, new Lateness(beforeMillis + SMOOTHING * (lateMillis - beforeMillis), nowMillis));
    }

    /** Returns what the way to a domain costs, in milliseconds; nothing for the own domain. */
    public double millis(FailureDomain domain, long nowMillis) {
        return domain.equals(ownDomain)
                ? 0
                : Math.clamp(
                        lateness(domain, nowMillis) - lateness(ownDomain, nowMillis), PRIOR_MILLIS, MAXIMUM_MILLIS);
    }

    private double lateness(FailureDomain domain, long nowMillis) {
        Lateness known = latenessByDomain.get(domain);
        return known == null ? 0 : known.at(nowMillis);
    }
}
