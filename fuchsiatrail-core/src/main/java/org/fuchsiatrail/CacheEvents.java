package org.fuchsiatrail;

import java.util.List;

/**
 * A section of an engine's stream of cache events.
 *
 * @param engine the engine
 * @param incarnation the incarnation of the engine that the events belong to
 * @param firstSequence the sequence number of the first event; a number above the requested one means a gap
 * @param nextSequence the sequence number from which to read next
 * @param runs the stored and evicted checkpoints
 */
public record CacheEvents(
        UpstreamId engine, long incarnation, long firstSequence, long nextSequence, List<CacheRun> runs) {}
