package org.fuchsiatrail;

import java.nio.charset.StandardCharsets;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The checkpoints of a prompt: one hash for each prefix whose length is a multiple of {@link #CHECKPOINT_BYTES}.
 *
 * <p>Each hash covers the cache salt and the whole prefix up to the checkpoint, so two prompts share a checkpoint only
 * when they share the salt and all bytes before it. Engines publish the same hashes in their cache events.
 */
public final class PrefixChain {

    /** The number of prompt bytes that count as one token. */
    public static final int BYTES_PER_TOKEN = 4;

    /** The number of tokens in one cache block. */
    public static final int TOKENS_PER_BLOCK = 16;

    /** The number of cache blocks between two checkpoints. */
    public static final int BLOCKS_PER_CHECKPOINT = 8;

    /** The number of tokens between two checkpoints. */
    public static final int CHECKPOINT_TOKENS = TOKENS_PER_BLOCK * BLOCKS_PER_CHECKPOINT;

    /** The number of prompt bytes between two checkpoints. */
    public static final int CHECKPOINT_BYTES = CHECKPOINT_TOKENS * BYTES_PER_TOKEN;

    private final long[] checkpoints;
    private final int tokens;

    private PrefixChain(long[] checkpoints, int tokens) {
        this.checkpoints = checkpoints;
        this.tokens = tokens;
    }

    /**
     * Computes the chain of a prompt.
     *
     * @param salt the cache salt
     * @param prompt the prompt
     * @return the chain
     */
    public static PrefixChain of(String salt, String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        long[] checkpoints = new long[bytes.length / CHECKPOINT_BYTES];
        long previous = Hashing.xxh3_64().hashCharsToLong(salt);
        for (int index = 0; index < checkpoints.length; index++) {
            previous = Hashing.xxh3_64(previous).hashBytesToLong(bytes, index * CHECKPOINT_BYTES, CHECKPOINT_BYTES);
            checkpoints[index] = previous;
        }
        return new PrefixChain(checkpoints, tokensIn(bytes.length));
    }

    /**
     * Returns a chain of checkpoints that were computed elsewhere.
     *
     * @param checkpoints the hashes, shortest prefix first
     * @param tokens the number of tokens in the whole prompt
     * @return the chain
     */
    public static PrefixChain of(long[] checkpoints, int tokens) {
        return new PrefixChain(checkpoints.clone(), tokens);
    }

    /**
     * Counts the tokens of a prompt.
     *
     * @param bytes the length of the prompt in bytes
     * @return the number of tokens, rounded up
     */
    public static int tokensIn(int bytes) {
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /**
     * Returns the hashes of the checkpoints.
     *
     * @return the hashes, shortest prefix first; callers must not modify the array
     */
    public long[] checkpoints() {
        return checkpoints;
    }

    /**
     * Returns the length of the prompt.
     *
     * @return the number of tokens
     */
    public int tokens() {
        return tokens;
    }

    /**
     * Returns the hash that determines which router owns the chain in the cache directory.
     *
     * @return the first checkpoint, or 0 when the prompt is shorter than one checkpoint
     */
    public long anchor() {
        return checkpoints.length == 0 ? 0 : checkpoints[0];
    }
}
