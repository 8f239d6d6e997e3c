package org.fuchsiatrail.forwarding;

import java.util.List;

/** How an engine or a store of kept KV cache answered the question what changed in its cache. */
public sealed interface CacheEventsReply {

    /**
     * What changed.
     *
     * @param epoch names this life of the cache; another one means that all before is gone
     * @param next where to go on reading
     * @param gap whether changes before these are no longer told
     * @param changes the changes in order
     */
    record Changes(long epoch, long nextCursor, boolean gap, List<Change> changes) implements CacheEventsReply {}

    /**
     * All that a cache holds.
     *
     * @param epoch names this life of the cache
     * @param next where to go on reading changes
     * @param held the parts that are stored
     */
    record Snapshot(long epoch, long nextCursor, List<Change> parts) implements CacheEventsReply {}

    /**
     * A prompt part was stored, shortened or dropped.
     *
     * @param salt the salt it is found under
     * @param model the model
     * @param part the id of the part
     * @param tokens how many of its tokens are stored now; 0 when it was dropped
     */
    record Change(String salt, String model, String partId, long tokens) {}

    /**
     * No answer, or one that cannot be read.
     *
     * @param reason what happened
     */
    record Failed(String reason) implements CacheEventsReply {}
}
