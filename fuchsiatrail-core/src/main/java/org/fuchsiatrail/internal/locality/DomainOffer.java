package org.fuchsiatrail.internal.locality;

import org.fuchsiatrail.FailureDomain;

/**
 * The best place for a request in one failure domain, as the placement predicts it.
 *
 * @param domain the failure domain
 * @param costMillis the expected cost, in milliseconds of a caller's waiting time
 * @param predictedMillis the expected time to the first event or the answer
 * @param partsMillis the part of the cost that is another prefill of shared parts
 * @param upstreams how many usable upstreams the domain has
 * @param wayMillis what the way there adds to the time to the first event or the answer; 0 for the own domain
 * @param newsMillis the age of the news of that domain, in milliseconds
 */
public record DomainOffer(
        FailureDomain domain,
        double costMillis,
        double predictedMillis,
        double partsMillis,
        int upstreams,
        double wayMillis,
        double newsMillis) {}
