package org.fuchsiatrail.forwarding;

import java.util.List;

/** The reply of an engine or a KV cache store to a read of its cache events or a cache snapshot. */
public sealed interface CacheEventsReply {

    /**
     * Cache events since the cursor of the read.
     *
     * @param epoch identifies this incarnation of the cache; a different epoch means that all earlier content is lost
     * @param nextCursor the position for the next read
     * @param gap whether changes between the cursor and these are no longer available
     * @param changes the changes in order
     */
    record Changes(long epoch, long nextCursor, boolean gap, List<Change> changes) implements CacheEventsReply {}

    /**
     * A snapshot of the whole cache.
     *
     * @param epoch identifies this incarnation of the cache
     * @param nextCursor the position from which to read changes after the snapshot
     * @param parts the prompt parts that are stored
     */
    record Snapshot(long epoch, long nextCursor, List<Change> parts) implements CacheEventsReply {}

    /**
     * A prompt part was stored, truncated or evicted.
     *
     * @param salt the cache salt under which the part is stored
     * @param model the model
     * @param partId the id of the prompt part
     * @param tokens how many of its tokens are stored now; 0 when it was evicted
     */
    record Change(String salt, String model, String partId, long tokens) {}

    /**
     * No response, or one that cannot be parsed.
     *
     * @param reason the error
     */
    record Failed(String reason) implements CacheEventsReply {}
}
