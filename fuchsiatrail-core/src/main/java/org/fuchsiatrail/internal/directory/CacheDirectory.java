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
 * A table of checkpoints and the engine lives that hold them, for the chains that this router keeps.
 *
 * <p>Engines have a small number each. A checkpoint's row is an array of engine numbers and the second of their last
 * evidence, packed in one long each.
 */
public final class CacheDirectory {

    private static final int MILLIS_PER_SECOND = 1000;
    private static final int NUMBER_BITS = 24;
    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    private final Long2ObjectOpenHashMap<long[]> holders = new Long2ObjectOpenHashMap<>();
    private final Map<UpstreamId, Integer> numbers = new HashMap<>();
    private final List<UpstreamId> engines = new ArrayList<>();
    private final List<Long> incarnations = new ArrayList<>();
    private final long lifetimeSeconds;
    private final int capacity;
    private ObjectIterator<Long2ObjectMap.Entry<long[]>> sweeper;

    /**
     * Creates an empty directory.
     *
     * @param lifetimeMillis how long evidence counts
     * @param capacity the most checkpoints kept
     */
    public CacheDirectory(long lifetimeMillis, int capacity) {
        this.lifetimeSeconds = lifetimeMillis / MILLIS_PER_SECOND;
        this.capacity = capacity;
    }

    /**
     * Remembers that an engine holds checkpoints.
     *
     * @param engine the engine
     * @param incarnation its life
     * @param checkpoints the hashes
     * @param nowMillis the time of the evidence
     */
    public void recordStored(UpstreamId engine, long incarnation, long[] checkpoints, long nowMillis) {
        int number = numberFor(engine, incarnation);
        if (number < 0) {
            return;
        }
        long packed = nowMillis / MILLIS_PER_SECOND << NUMBER_BITS | number;
        for (long checkpoint : checkpoints) {
            long[] row = holders.get(checkpoint);
            if (row == null) {
                if (holders.size() < capacity) {
                    holders.put(checkpoint, new long[] {packed});
                    sweeper = null;
                }
                continue;
            }
            int place = placeOf(row, number);
            if (place >= 0) {
                row[place] = packed;
            } else {
                long[] longer = Arrays.copyOf(row, row.length + 1);
                longer[row.length] = packed;
                holders.put(checkpoint, longer);
            }
        }
    }

    /**
     * Remembers that an engine no longer holds checkpoints.
     *
     * @param engine the engine
     * @param incarnation its life
     * @param checkpoints the hashes
     */
    public void recordEvicted(UpstreamId engine, long incarnation, long[] checkpoints) {
        Integer number = numbers.get(engine);
        if (number == null || incarnations.get(number) != incarnation) {
            return;
        }
        for (long checkpoint : checkpoints) {
            long[] row = holders.get(checkpoint);
            int place = row == null ? -1 : placeOf(row, number);
            if (place >= 0) {
                removePlace(checkpoint, row, place);
            }
        }
    }

    /**
     * Finds who holds how much of a prompt's prefix.
     *
     * @param checkpoints the prompt's hashes, shortest first
     * @param nowMillis the time
     * @return the engines that hold the first checkpoint at least
     */
    public List<PeerMessage.PrefixMatch> lookup(long[] checkpoints, long nowMillis) {
        List<PeerMessage.PrefixMatch> matches = new ArrayList<>();
        if (checkpoints.length == 0) {
            return matches;
        }
        long oldest = nowMillis / MILLIS_PER_SECOND - lifetimeSeconds;
        long[] first = holders.get(checkpoints[0]);
        int[] live = liveNumbers(first, oldest);
        int remaining = live.length;
        for (int depth = 1; remaining > 0; depth++) {
            long[] row = depth < checkpoints.length ? holders.get(checkpoints[depth]) : null;
            for (int index = 0; index < remaining; index++) {
                int place = row == null ? -1 : placeOf(row, live[index]);
                boolean held = place >= 0 && row[place] >> NUMBER_BITS >= oldest;
                if (!held) {
                    int number = live[index];
                    matches.add(new PeerMessage.PrefixMatch(engines.get(number), incarnations.get(number), depth));
                    live[index] = live[remaining - 1];
                    remaining--;
                    index--;
                }
            }
        }
        return matches;
    }

    /**
     * Drops old evidence, a bounded number of rows a call.
     *
     * @param nowMillis the time
     * @param rows the most rows to visit
     */
    public void sweep(long nowMillis, int rows) {
        long oldest = nowMillis / MILLIS_PER_SECOND - lifetimeSeconds;
        if (sweeper == null || !sweeper.hasNext()) {
            sweeper = holders.long2ObjectEntrySet().fastIterator();
        }
        for (int visited = 0; visited < rows && sweeper.hasNext(); visited++) {
            long[] row = sweeper.next().getValue();
            boolean dead = true;
            for (long packed : row) {
                dead &= packed >> NUMBER_BITS < oldest;
            }
            if (dead) {
                sweeper.remove();
            }
        }
    }

    /**
     * Returns the number of checkpoints kept.
     *
     * @return rows
     */
    public int size() {
        return holders.size();
    }

    /** Forgets everything. */
    public void clear() {
        holders.clear();
        sweeper = null;
    }

    private int numberFor(UpstreamId engine, long incarnation) {
        Integer known = numbers.get(engine);
        if (known != null && incarnations.get(known) == incarnation) {
            return known;
        }
        if (known != null && incarnations.get(known) > incarnation) {
            return -1;
        }
        int fresh = engines.size();
        if (fresh > NUMBER_MASK) {
            return -1;
        }
        if (known != null) {
            engines.set(known, engine);
            incarnations.set(known, Long.MIN_VALUE);
        }
        engines.add(engine);
        incarnations.add(incarnation);
        numbers.put(engine, fresh);
        return fresh;
    }

    private int[] liveNumbers(long[] row, long oldest) {
        if (row == null) {
            return new int[0];
        }
        int[] live = new int[row.length];
        int count = 0;
        for (long packed : row) {
            int number = (int) (packed & NUMBER_MASK);
            boolean current = incarnations.get(number) != Long.MIN_VALUE;
            if (current && packed >> NUMBER_BITS >= oldest) {
                live[count++] = number;
            }
        }
        return Arrays.copyOf(live, count);
    }

    private static int placeOf(long[] row, int number) {
        for (int place = 0; place < row.length; place++) {
            if ((row[place] & NUMBER_MASK) == number) {
                return place;
            }
        }
        return -1;
    }

    private void removePlace(long checkpoint, long[] row, int place) {
        if (row.length == 1) {
            holders.remove(checkpoint);
            sweeper = null;
            return;
        }
        long[] shorter = new long[row.length - 1];
        System.arraycopy(row, 0, shorter, 0, place);
        System.arraycopy(row, place + 1, shorter, place, row.length - place - 1);
        holders.put(checkpoint, shorter);
    }
}
