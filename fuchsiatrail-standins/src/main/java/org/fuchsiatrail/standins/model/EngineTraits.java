package org.fuchsiatrail.standins.model;

import java.util.List;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.UpstreamId;

/**
 * The configuration of a stand-in engine.
 *
 * @param id the engine's name
 * @param models the model versions that are loaded at start
 * @param maximumCachedCheckpoints the number of prefix checkpoints above which its cache evicts
 * @param prefillTokensPerSecond uncached prompt tokens that are prefilled per second
 * @param tokenIntervalMillis the time between two tokens of an answer, in milliseconds
 * @param maximumStreams the number of queued and running requests above which new ones are refused
 * @param loadReportDelayMillis the age of its load reports, in milliseconds
 * @param weightLoadDurationMillis the time to load a model version, in milliseconds
 * @param checksFencing whether it refuses orders with an outdated fencing token
 */
public record EngineTraits(
        UpstreamId id,
        List<ModelVersion> models,
        int maximumCachedCheckpoints,
        long prefillTokensPerSecond,
        long tokenIntervalMillis,
        int maximumStreams,
        long loadReportDelayMillis,
        long weightLoadDurationMillis,
        boolean checksFencing) {

    /**
     * Returns the configuration that the demo uses.
     *
     * @param id the engine's name
     * @param models the model versions that are loaded at start
     * @return the configuration
     */
    public static EngineTraits standard(String id, List<ModelVersion> models) {
        return new EngineTraits(new UpstreamId(id), models, 2_000, 8_000, 20, 64, 300, 2_000, true);
    }
}
