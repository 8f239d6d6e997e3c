package org.fuchsiatrail;

import java.util.List;

/**
 * A piece of an engine's stream of cache events.
 *
 * @param engine the engine
 * @param incarnation the life of the engine that the events belong to
 * @param firstSequence the sequence number of the first event; above the number asked for means a gap
 * @param nextSequence the sequence number to ask for next
 * @param runs what was stored and evicted
 */
public record CacheEvents(
        UpstreamId engine, long incarnation, long firstSequence, long nextSequence, List<CacheRun> runs) {}
