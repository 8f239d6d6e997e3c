package org.fuchsiatrail.internal.locality;

import org.fuchsiatrail.FailureDomain;

/**
 * Compares the holders from which an engine may fetch shared parts.
 *
 * <p>Load pattern: parts that engines of several failure domains hold, fetched by many engines at once. A fetch from
 * another domain takes longer and costs money, so it is made only for parts that no holder of the engine's domain has.
 */
public final class HolderChoice {

    private HolderChoice() {}

    /**
     * Returns whether a holder is to be preferred to the best one so far.
     *
     * @param tokens the tokens of the parts that it holds and the engine lacks
     * @param domain its failure domain
     * @param bestTokens the same of the best one so far
     * @param bestDomain the failure domain of the best one so far
     * @param engineDomain the failure domain of the engine that fetches
     * @param minimumTokens how many more tokens are worth a way to another domain
     */
    public static boolean isPreferred(
            long tokens,
            FailureDomain domain,
            long bestTokens,
            FailureDomain bestDomain,
            FailureDomain engineDomain,
            long minimumTokens) {
        boolean near = domain.equals(engineDomain);
        boolean bestNear = bestDomain.equals(engineDomain);
        if (near == bestNear) {
            return tokens > bestTokens;
        }
        return near ? tokens + minimumTokens >= bestTokens : tokens > bestTokens + minimumTokens;
    }
}
