package org.fuchsiatrail.internal.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.forwarding.VersionShares;
import org.fuchsiatrail.forwarding.VersionShares.Share;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against shares that send streams to versions without upstreams, and against needless changes. */
class VersionShareDecisionTest {

    private static final int STREAMS = 20_000;

    private final Map<String, VersionShareDecision.Upstreams> upstreams = new LinkedHashMap<>();

    private void version(String version, int active, int responsive) {
        upstreams.put(version, new VersionShareDecision.Upstreams(active, responsive));
    }

    private Optional<List<Share>> next(Share... current) {
        return VersionShareDecision.next(List.of(current), upstreams);
    }

    @Test
    void should_divide_streams_by_the_numbers_of_upstreams_when_no_shares_are_set() {
        version("v1", 4, 4);
        version("v2", 2, 2);
        assertThat(next()).hasValue(List.of(new Share("v1", 4), new Share("v2", 2)));
    }

    @Test
    void should_keep_shares_while_a_version_gets_little_more_than_its_part() {
        version("v1", 5, 5);
        version("v2", 2, 2);
        assertThat(next(new Share("v1", 1))).isEmpty();
    }

    @Test
    void should_change_shares_when_a_version_gets_clearly_more_than_its_part() {
        version("v1", 4, 4);
        version("v2", 2, 2);
        assertThat(next(new Share("v1", 1))).hasValue(List.of(new Share("v1", 4), new Share("v2", 2)));
    }

    @Test
    void should_give_no_share_to_a_version_with_one_upstream_while_another_has_more() {
        version("v1", 1, 1);
        version("v2", 5, 5);
        assertThat(next(new Share("v1", 2), new Share("v2", 4))).hasValue(List.of(new Share("v2", 5)));
    }

    @Test
    void should_leave_a_version_whose_upstreams_are_all_suspected_while_another_responds() {
        version("v1", 3, 0);
        version("v2", 3, 3);
        assertThat(next(new Share("v1", 1), new Share("v2", 1))).hasValue(List.of(new Share("v2", 3)));
    }

    @Test
    void should_keep_shares_while_no_upstream_is_registered_or_all_are_suspected() {
        assertThat(next(new Share("v1", 1))).isEmpty();
        version("v1", 3, 0);
        assertThat(next(new Share("v1", 1))).isEmpty();
    }

    @Test
    void should_call_the_loss_of_the_last_upstream_of_a_version_urgent() {
        version("v2", 3, 3);
        assertThat(VersionShareDecision.isUrgent(List.of(new Share("v1", 1)), upstreams))
                .isTrue();
        assertThat(VersionShareDecision.isUrgent(List.of(new Share("v2", 1)), upstreams))
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_reach_shares_that_stay_and_have_upstreams_in_every_replacement(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Share> shares = List.of();
        for (int step = 0; step < 200; step++) {
            upstreams.clear();
            for (int version = 0; version < 1 + random.nextInt(3); version++) {
                int active = 1 + random.nextInt(600);
                version("v" + random.nextInt(4), active, random.nextInt(active + 1));
            }
            Optional<List<Share>> next = VersionShareDecision.next(shares, upstreams);
            if (next.isPresent()) {
                shares = next.get();
                assertThat(VersionShareDecision.next(shares, upstreams)).isEmpty();
            }
            assertThat(shares).allSatisfy(share -> assertThat(upstreams).containsKey(share.softwareVersion()));
        }
    }

    @Test
    void should_divide_keys_evenly_and_move_only_those_of_a_version_that_loses_upstreams() {
        VersionShares before = new VersionShares("tutors", 1, List.of(new Share("v1", 4), new Share("v2", 2)));
        VersionShares after = new VersionShares("tutors", 2, List.of(new Share("v1", 2), new Share("v2", 4)));
        SplittableRandom random = new SplittableRandom(3);
        int firstVersion = 0;
        int moved = 0;
        for (int number = 0; number < STREAMS; number++) {
            long stream = random.nextLong();
            String version = before.versionOf(stream).orElseThrow();
            String versionAfter = after.versionOf(stream).orElseThrow();
            firstVersion += version.equals("v1") ? 1 : 0;
            moved += version.equals(versionAfter) ? 0 : 1;
            assertThat(version.equals("v2") && versionAfter.equals("v1")).isFalse();
        }
        assertThat(firstVersion / (double) STREAMS).isBetween(0.64, 0.69);
        assertThat(moved / (double) STREAMS).isBetween(0.31, 0.36);
    }

    @Test
    void should_tell_no_version_when_no_shares_are_known() {
        assertThat(VersionShares.unknown("tutors", 0).versionOf(5)).isEmpty();
    }
}
