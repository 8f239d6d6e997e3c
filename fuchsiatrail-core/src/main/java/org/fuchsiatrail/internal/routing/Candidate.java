package org.fuchsiatrail.internal.routing;

import org.fuchsiatrail.internal.upstreams.UpstreamRow;

/**
 * An engine that could run a request, with the predicted cost.
 *
 * @param engine the engine
 * @param cachedTokens prompt tokens that its cache is expected to contain
 * @param uncachedTokens prompt tokens that it would have to prefill
 * @param queueMillis the predicted time until it starts the prefill of this prompt
 * @param firstTokenMillis the predicted time to the first token
 * @param cost the predicted time to the first token plus the weighted prefill time, in milliseconds
 */
public record Candidate(
        UpstreamRow engine,
        int cachedTokens,
        int uncachedTokens,
        long queueMillis,
        long firstTokenMillis,
        double cost) {}
