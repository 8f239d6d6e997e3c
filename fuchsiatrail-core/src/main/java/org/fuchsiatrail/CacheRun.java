package org.fuchsiatrail;

/**
 * Checkpoints of one prefix chain that changed together.
 *
 * @param anchor the hash of the chain's first checkpoint, which determines the router that owns the chain in the cache
 *     directory
 * @param stored hashes of checkpoints that the cache now contains
 * @param evicted hashes of checkpoints that the cache no longer contains
 */
public record CacheRun(long anchor, long[] stored, long[] evicted) {}
