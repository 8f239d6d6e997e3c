package org.fuchsiatrail.internal.routing;

import org.fuchsiatrail.internal.upstreams.UpstreamRow;

/**
 * One engine that could run a request, with what it would cost.
 *
 * @param engine the engine
 * @param cachedTokens prompt tokens it is expected to hold
 * @param uncachedTokens prompt tokens it would compute
 * @param queueMillis the time until it begins with this prompt
 * @param firstTokenMillis the predicted time to the first token
 * @param cost the predicted time plus the weighted time of recomputing
 */
public record Candidate(
        UpstreamRow engine,
        int cachedTokens,
        int uncachedTokens,
        long queueMillis,
        long firstTokenMillis,
        double cost) {}
