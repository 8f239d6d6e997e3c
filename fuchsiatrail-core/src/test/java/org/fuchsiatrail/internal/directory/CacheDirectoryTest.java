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

class CacheDirectoryTest {

    private static final long[] CHAIN = {11, 12, 13, 14};
    private final UpstreamId one = new UpstreamId("one");
    private final UpstreamId two = new UpstreamId("two");
    private final CacheDirectory directory = new CacheDirectory(10_000, 1_000);

    @Test
    void should_find_how_much_of_a_prefix_each_engine_holds() {
        directory.recordStored(one, 1, CHAIN, 0);
        directory.recordStored(two, 1, new long[] {11, 12}, 0);
        assertThat(directory.lookup(CHAIN, 0))
                .containsExactlyInAnyOrder(
                        new PeerMessage.PrefixMatch(one, 1, 4), new PeerMessage.PrefixMatch(two, 1, 2));
    }

    @Test
    void should_stop_at_an_evicted_checkpoint() {
        directory.recordStored(one, 1, CHAIN, 0);
        directory.recordEvicted(one, 1, new long[] {13});
        assertThat(directory.lookup(CHAIN, 0)).containsExactly(new PeerMessage.PrefixMatch(one, 1, 2));
    }

    @Test
    void should_forget_an_engines_earlier_life_at_once() {
        directory.recordStored(one, 1, CHAIN, 0);
        directory.recordStored(one, 2, new long[] {99}, 0);
        assertThat(directory.lookup(CHAIN, 0)).isEmpty();
        directory.recordStored(one, 1, CHAIN, 0);
        assertThat(directory.lookup(CHAIN, 0)).isEmpty();
    }

    @Test
    void should_forget_evidence_that_has_grown_old() {
        directory.recordStored(one, 1, CHAIN, 0);
        assertThat(directory.lookup(CHAIN, 9_000)).isNotEmpty();
        assertThat(directory.lookup(CHAIN, 12_000)).isEmpty();
        directory.sweep(12_000, 100);
        assertThat(directory.size()).isZero();
    }

    @Test
    void should_keep_no_more_than_its_capacity() {
        for (long checkpoint = 0; checkpoint < 5_000; checkpoint++) {
            directory.recordStored(one, 1, new long[] {checkpoint}, 0);
        }
        assertThat(directory.size()).isEqualTo(1_000);
    }

    @Test
    void should_agree_with_a_naive_version_in_any_history() {
        SplittableRandom random = new SplittableRandom(3);
        Map<UpstreamId, Set<Long>> naive = new HashMap<>(Map.of(one, new HashSet<>(), two, new HashSet<>()));
        for (int step = 0; step < 20_000; step++) {
            UpstreamId engine = random.nextBoolean() ? one : two;
            long checkpoint = CHAIN[random.nextInt(CHAIN.length)];
            if (random.nextBoolean()) {
                directory.recordStored(engine, 1, new long[] {checkpoint}, 0);
                naive.get(engine).add(checkpoint);
            } else {
                directory.recordEvicted(engine, 1, new long[] {checkpoint});
                naive.get(engine).remove(checkpoint);
            }
            List<PeerMessage.PrefixMatch> found = directory.lookup(CHAIN, 0);
            naive.forEach((each, held) -> assertThat(depth(found, each)).isEqualTo(naiveDepth(held)));
        }
    }

    private static int depth(List<PeerMessage.PrefixMatch> found, UpstreamId engine) {
        return found.stream()
                .filter(match -> match.engine().equals(engine))
                .mapToInt(PeerMessage.PrefixMatch::checkpoints)
                .findFirst()
                .orElse(0);
    }

    private static int naiveDepth(Set<Long> held) {
        int depth = 0;
        while (depth < CHAIN.length && held.contains(CHAIN[depth])) {
            depth++;
        }
        return depth;
    }
}
