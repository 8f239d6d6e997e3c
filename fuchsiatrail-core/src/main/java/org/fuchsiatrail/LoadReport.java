package org.fuchsiatrail;

import java.util.List;

/**
 * An engine's report of its load and state.
 *
 * @param engine the engine
 * @param incarnation the incarnation number of the engine; each restart increases it
 * @param queuedTokens the number of prompt tokens that are queued or in prefill
 * @param runningStreams the number of answers being generated
 * @param maximumStreams the maximum number of answers that the engine can generate concurrently
 * @param prefillTokensPerSecond the prefill rate of the engine, in prompt tokens per second
 * @param models the models and weights that the engine has loaded
 * @param draining whether the engine is draining
 * @param takenAtMillis when the engine created the report
 */
public record LoadReport(
        UpstreamId engine,
        long incarnation,
        long queuedTokens,
        int runningStreams,
        int maximumStreams,
        long prefillTokensPerSecond,
        List<ModelVersion> models,
        boolean draining,
        long takenAtMillis) {}
