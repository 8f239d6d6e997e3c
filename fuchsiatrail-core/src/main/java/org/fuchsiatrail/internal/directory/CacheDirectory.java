package org.fuchsiatrail.internal.directory;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * Maps the checkpoints of the prefix chains owned by this router to the engine incarnations that hold them.
 *
 * <p>Each engine incarnation has a small number. The row of a checkpoint is an array of holders; each holder is one
 * {@code long} that packs the engine number and the second at which the holder was last reported.
 */
public final class CacheDirectory {

    private static final int MILLIS_PER_SECOND = 1000;
    private static final int ENGINE_NUMBER_BITS = 24;
    private static final long ENGINE_NUMBER_MASK = (1L << ENGINE_NUMBER_BITS) - 1;

    private final Long2ObjectOpenHashMap<long[]> holdersByCheckpoint = new Long2ObjectOpenHashMap<>();
    private final Map<UpstreamId, Integer> engineNumbers = new HashMap<>();
    private final List<UpstreamId> enginesByNumber = new ArrayList<>();
    /** The incarnation of each engine number, or {@link Long#MIN_VALUE} when a newer incarnation has replaced it. */
    private final List<Long> incarnationsByNumber = new ArrayList<>();

    private final long lifetimeSeconds;
    private final int capacity;
    private ObjectIterator<Long2ObjectMap.Entry<long[]>> sweepIterator;

    /**
     * Creates an empty directory.
     *
     * @param lifetimeMillis the lifetime of a holder without a new report
     * @param capacity the maximum number of checkpoints
     */
    public CacheDirectory(long lifetimeMillis, int capacity) {
        this.lifetimeSeconds = lifetimeMillis / MILLIS_PER_SECOND;
        this.capacity = capacity;
    }

    /**
     * Records that an engine holds checkpoints.
     *
     * @param engine the engine
     * @param incarnation the incarnation of the engine
     * @param checkpoints the hashes of the checkpoints
     * @param nowMillis the time of the report
     */
    public void recordStored(UpstreamId engine, long incarnation, long[] checkpoints, long nowMillis) {
        int number = assignNumber(engine, incarnation);
        if (number < 0) {
            return;
        }
        long packed = nowMillis / MILLIS_PER_SECOND << ENGINE_NUMBER_BITS | number;
        for (long checkpoint : checkpoints) {
            long[] row = holdersByCheckpoint.get(checkpoint);
            if (row == null) {
                if (holdersByCheckpoint.size() < capacity) {
                    holdersByCheckpoint.put(checkpoint, new long[] {packed});
                    sweepIterator = null;
                }
                continue;
            }
            int index = indexOf(row, number);
            if (index >= 0) {
                row[index] = packed;
            } else {
                long[] extended = Arrays.copyOf(row, row.length + 1);
                extended[row.length] = packed;
                holdersByCheckpoint.put(checkpoint, extended);
            }
        }
    }

    /**
     * Records that an engine no longer holds checkpoints.
     *
     * @param engine the engine
     * @param incarnation the incarnation of the engine
     * @param checkpoints the hashes of the checkpoints
     */
    public void recordEvicted(UpstreamId engine, long incarnation, long[] checkpoints) {
        Integer number = engineNumbers.get(engine);
        if (number == null || incarnationsByNumber.get(number) != incarnation) {
            return;
        }
        for (long checkpoint : checkpoints) {
            long[] row = holdersByCheckpoint.get(checkpoint);
            int index = row == null ? -1 : indexOf(row, number);
            if (index >= 0) {
                removeHolder(checkpoint, row, index);
            }
        }
    }

    /**
     * Finds the engines that hold a prefix of a prompt.
     *
     * @param checkpoints the checkpoints of the prompt, shortest prefix first
     * @param nowMillis the current time
     * @return the engines that hold at least the first checkpoint, with the length of the prefix that each holds
     */
    public List<PeerMessage.PrefixMatch> lookup(long[] checkpoints, long nowMillis) {
        List<PeerMessage.PrefixMatch> matches = new ArrayList<>();
        if (checkpoints.length == 0) {
            return matches;
        }
        long oldestSecond = nowMillis / MILLIS_PER_SECOND - lifetimeSeconds;
        long[] first = holdersByCheckpoint.get(checkpoints[0]);
        int[] live = liveNumbers(first, oldestSecond);
        int remaining = live.length;
        for (int depth = 1; remaining > 0; depth++) {
            long[] row = depth < checkpoints.length ? holdersByCheckpoint.get(checkpoints[depth]) : null;
            for (int candidate = 0; candidate < remaining; candidate++) {
                int index = row == null ? -1 : indexOf(row, live[candidate]);
                boolean held = index >= 0 && row[index] >> ENGINE_NUMBER_BITS >= oldestSecond;
                if (!held) {
                    int number = live[candidate];
                    matches.add(new PeerMessage.PrefixMatch(
                            enginesByNumber.get(number), incarnationsByNumber.get(number), depth));
                    live[candidate] = live[remaining - 1];
                    remaining--;
                    candidate--;
                }
            }
        }
        return matches;
    }

    /**
     * Removes rows whose holders have all expired; each call visits a bounded number of rows.
     *
     * @param nowMillis the current time
     * @param rows the maximum number of rows to visit
     */
    public void sweep(long nowMillis, int rows) {
        long oldestSecond = nowMillis / MILLIS_PER_SECOND - lifetimeSeconds;
        if (sweepIterator == null || !sweepIterator.hasNext()) {
            sweepIterator = holdersByCheckpoint.long2ObjectEntrySet().fastIterator();
        }
        for (int visited = 0; visited < rows && sweepIterator.hasNext(); visited++) {
            long[] row = sweepIterator.next().getValue();
            boolean expired = true;
            for (long packed : row) {
                expired &= packed >> ENGINE_NUMBER_BITS < oldestSecond;
            }
            if (expired) {
                sweepIterator.remove();
            }
        }
    }

    /**
     * Returns the number of checkpoints in the table.
     *
     * @return the number of rows
     */
    public int size() {
        return holdersByCheckpoint.size();
    }

    /** Removes all checkpoints. */
    public void clear() {
        holdersByCheckpoint.clear();
        sweepIterator = null;
    }

    private int assignNumber(UpstreamId engine, long incarnation) {
        Integer existing = engineNumbers.get(engine);
        if (existing != null && incarnationsByNumber.get(existing) == incarnation) {
            return existing;
        }
        if (existing != null && incarnationsByNumber.get(existing) > incarnation) {
            return -1;
        }
        int assigned = enginesByNumber.size();
        if (assigned > ENGINE_NUMBER_MASK) {
            return -1;
        }
        if (existing != null) {
            enginesByNumber.set(existing, engine);
            incarnationsByNumber.set(existing, Long.MIN_VALUE);
        }
        enginesByNumber.add(engine);
        incarnationsByNumber.add(incarnation);
        engineNumbers.put(engine, assigned);
        return assigned;
    }

    private int[] liveNumbers(long[] row, long oldestSecond) {
        if (row == null) {
            return new int[0];
        }
        int[] live = new int[row.length];
        int count = 0;
        for (long packed : row) {
            int number = (int) (packed & ENGINE_NUMBER_MASK);
            boolean current = incarnationsByNumber.get(number) != Long.MIN_VALUE;
            if (current && packed >> ENGINE_NUMBER_BITS >= oldestSecond) {
                live[count++] = number;
            }
        }
        return Arrays.copyOf(live, count);
    }

    private static int indexOf(long[] row, int number) {
        for (int index = 0; index < row.length; index++) {
            if ((row[index] & ENGINE_NUMBER_MASK) == number) {
                return index;
            }
        }
        return -1;
    }

    private void removeHolder(long checkpoint, long[] row, int index) {
        if (row.length == 1) {
            holdersByCheckpoint.remove(checkpoint);
            sweepIterator = null;
            return;
        }
        long[] remaining = new long[row.length - 1];
        System.arraycopy(row, 0, remaining, 0, index);
        System.arraycopy(row, index + 1, remaining, index, row.length - index - 1);
        holdersByCheckpoint.put(checkpoint, remaining);
    }
}
