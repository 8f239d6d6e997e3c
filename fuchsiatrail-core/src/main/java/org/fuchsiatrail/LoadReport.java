package org.fuchsiatrail;

import java.util.List;

/**
 * What an engine says of itself.
 *
 * @param engine the engine
 * @param incarnation the number of this life of the engine; a restart raises it
 * @param queuedTokens prompt tokens that wait or are being computed
 * @param runningStreams answers being generated
 * @param maximumStreams answers it can generate at once
 * @param prefillTokensPerSecond prompt tokens it computes a second
 * @param models the models and weights it has loaded
 * @param draining whether it is leaving
 * @param takenAtMillis when the engine took the report
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
