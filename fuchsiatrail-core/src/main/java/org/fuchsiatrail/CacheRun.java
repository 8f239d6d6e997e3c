package org.fuchsiatrail;

/**
 * Checkpoints of one chain of cached blocks that changed together.
 *
 * @param anchor the hash of the chain's first checkpoint, which decides the router that keeps the chain
 * @param stored hashes of checkpoints that are now held
 * @param evicted hashes of checkpoints that are no longer held
 */
public record CacheRun(long anchor, long[] stored, long[] evicted) {}
