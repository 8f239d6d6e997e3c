package org.fuchsiatrail.standins.model;

import java.util.List;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.UpstreamId;

/**
 * The fixed properties of a stand-in engine.
 *
 * @param id its name
 * @param models the models it starts with
 * @param cacheCheckpoints the prefix checkpoints its cache holds
 * @param prefillTokensPerSecond prompt tokens computed a second
 * @param tokenIntervalMillis the time between two tokens of an answer
 * @param maximumStreams answers generated at once
 * @param loadLagMillis the age of its load reports
 * @param weightLoadMillis the time to load a model version
 * @param checksFencing whether it refuses orders with an old fencing token
 */
public record EngineTraits(
        UpstreamId id,
        List<ModelVersion> models,
        int cacheCheckpoints,
        long prefillTokensPerSecond,
        long tokenIntervalMillis,
        int maximumStreams,
        long loadLagMillis,
        long weightLoadMillis,
        boolean checksFencing) {

    /**
     * Returns the properties that the demo uses.
     *
     * @param id the engine's name
     * @param models the models it starts with
     * @return properties
     */
    public static EngineTraits standard(String id, List<ModelVersion> models) {
        return new EngineTraits(new UpstreamId(id), models, 2_000, 8_000, 20, 64, 300, 2_000, true);
    }
}
