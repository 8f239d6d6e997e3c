package org.fuchsiatrail.internal.directory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lookups that return prefixes which an engine does not hold, because they were evicted, have expired or
 * belong to an earlier incarnation, and against a table that grows beyond its capacity.
 */
class CacheDirectoryTest {

    private static final long[] CHAIN = {11, 12, 13, 14};
    private final UpstreamId firstEngine = new UpstreamId("one");
    private final UpstreamId secondEngine = new UpstreamId("two");
    private final CacheDirectory directory = new CacheDirectory(10_000, 1_000);

    @Test
    void should_return_the_prefix_length_that_each_engine_holds() {
        directory.recordStored(firstEngine, 1, CHAIN, 0);
        directory.recordStored(secondEngine, 1, new long[] {11, 12}, 0);
        assertThat(directory.lookup(CHAIN, 0))
                .containsExactlyInAnyOrder(
                        new PeerMessage.PrefixMatch(firstEngine, 1, 4),
                        new PeerMessage.PrefixMatch(secondEngine, 1, 2));
    }

    @Test
    void should_end_a_match_at_an_evicted_checkpoint() {
        directory.recordStored(firstEngine, 1, CHAIN, 0);
        directory.recordEvicted(firstEngine, 1, new long[] {13});
        assertThat(directory.lookup(CHAIN, 0)).containsExactly(new PeerMessage.PrefixMatch(firstEngine, 1, 2));
    }

    @Test
    void should_ignore_checkpoints_of_an_earlier_incarnation_of_an_engine() {
        directory.recordStored(firstEngine, 1, CHAIN, 0);
        directory.recordStored(firstEngine, 2, new long[] {99}, 0);
        assertThat(directory.lookup(CHAIN, 0)).isEmpty();
        directory.recordStored(firstEngine, 1, CHAIN, 0);
        assertThat(directory.lookup(CHAIN, 0)).isEmpty();
    }

    @Test
    void should_remove_checkpoints_whose_lifetime_has_elapsed() {
        directory.recordStored(firstEngine, 1, CHAIN, 0);
        assertThat(directory.lookup(CHAIN, 9_000)).isNotEmpty();
        assertThat(directory.lookup(CHAIN, 12_000)).isEmpty();
        directory.sweep(12_000, 100);
        assertThat(directory.size()).isZero();
    }

    @Test
    void should_keep_at_most_its_capacity_of_checkpoints() {
        for (long checkpoint = 0; checkpoint < 5_000; checkpoint++) {
            directory.recordStored(firstEngine, 1, new long[] {checkpoint}, 0);
        }
        assertThat(directory.size()).isEqualTo(1_000);
    }

    @Test
    void should_match_a_naive_implementation_after_random_updates() {
        SplittableRandom random = new SplittableRandom(3);
        Map<UpstreamId, Set<Long>> expected =
                new HashMap<>(Map.of(firstEngine, new HashSet<>(), secondEngine, new HashSet<>()));
        for (int step = 0; step < 20_000; step++) {
            UpstreamId engine = random.nextBoolean() ? firstEngine : secondEngine;
            long checkpoint = CHAIN[random.nextInt(CHAIN.length)];
            if (random.nextBoolean()) {
                directory.recordStored(engine, 1, new long[] {checkpoint}, 0);
                expected.get(engine).add(checkpoint);
            } else {
                directory.recordEvicted(engine, 1, new long[] {checkpoint});
                expected.get(engine).remove(checkpoint);
            }
            List<PeerMessage.PrefixMatch> found = directory.lookup(CHAIN, 0);
            expected.forEach((holder, held) -> assertThat(depth(found, holder)).isEqualTo(expectedDepth(held)));
        }
    }

    private static int depth(List<PeerMessage.PrefixMatch> found, UpstreamId engine) {
        return found.stream()
                .filter(match -> match.engine().equals(engine))
                .mapToInt(PeerMessage.PrefixMatch::checkpoints)
                .findFirst()
                .orElse(0);
    }

    private static int expectedDepth(Set<Long> held) {
        int depth = 0;
        while (depth < CHAIN.length && held.contains(CHAIN[depth])) {
            depth++;
        }
        return depth;
    }
}
