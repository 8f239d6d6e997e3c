package org.fuchsiatrail.internal.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against first parts that every engine must cache: replays prompts of 52 first parts, one of them in a third of
 * the prompts, at routers that each see some of the prompts.
 */
class PartHoldersTest {

    private static final int FIRST_PARTS = 52;
    private static final long HOT_SESSION = 900_000;
    private static final long TOKENS = 6_300;
    private static final List<String> ENGINES =
            IntStream.range(0, 98).mapToObj(number -> "engine-" + number).toList();

    private final SplittableRandom random = new SplittableRandom(3);

    private List<String> place(PartHolders router, long firstPart, long session) {
        List<String> holders = router.holders(firstPart, session, TOKENS, ENGINES, engine -> engine);
        router.record(firstPart, session, TOKENS);
        return holders;
    }

    private Map<Long, Set<String>> replay(int routers, double hotFraction) {
        List<PartHolders> all = IntStream.range(0, routers)
                .mapToObj(number -> new PartHolders())
                .toList();
        Map<Long, Set<String>> enginesByPart = new HashMap<>();
        for (int number = 0; number < routers * 600; number++) {
            long firstPart = random.nextDouble() < hotFraction ? 0 : 1 + random.nextInt(FIRST_PARTS);
            long session = 1_000 * (firstPart + 1) + random.nextInt(60);
            String preferred =
                    place(all.get(random.nextInt(routers)), firstPart, session).getFirst();
            if (number > routers * 300) {
                enginesByPart
                        .computeIfAbsent(firstPart, part -> new HashSet<>())
                        .add(preferred);
            }
        }
        return enginesByPart;
    }

    private static double meanOfColdParts(Map<Long, Set<String>> enginesByPart) {
        return enginesByPart.entrySet().stream()
                .filter(entry -> entry.getKey() != 0)
                .mapToInt(entry -> entry.getValue().size())
                .average()
                .orElseThrow();
    }

    @Test
    void should_hold_each_first_part_on_few_engines_and_use_most_engines() {
        Map<Long, Set<String>> enginesByPart = replay(20, 0);
        assertThat(meanOfColdParts(enginesByPart)).isLessThan(17);
        Set<String> used = new HashSet<>();
        enginesByPart.values().forEach(used::addAll);
        assertThat(used).hasSizeGreaterThan(90);
    }

    @Test
    void should_spread_a_hot_first_part() {
        Map<Long, Set<String>> enginesByPart = replay(20, 0.33);
        assertThat(enginesByPart.get(0L)).hasSizeGreaterThan(30);
    }

    @Test
    void should_give_a_hot_session_several_holders_and_shrink_them_when_it_cools() {
        PartHolders router = new PartHolders();
        for (int number = 0; number < 200; number++) {
            place(router, 1, number % 3 == 0 ? HOT_SESSION : 1_000 + number);
        }
        assertThat(place(router, 1, HOT_SESSION)).hasSizeGreaterThan(20);
        for (int number = 0; number < 200; number++) {
            place(router, 2 + number % FIRST_PARTS, 2_000 + number);
        }
        assertThat(place(router, 1, HOT_SESSION)).hasSize(1);
    }

    @Test
    void should_name_the_same_first_holder_at_routers_of_one_load() {
        PartHolders here = new PartHolders();
        PartHolders there = new PartHolders();
        int same = 0;
        for (int number = 0; number < 2_000; number++) {
            long firstPart = 1 + random.nextInt(FIRST_PARTS);
            long session = 1_000 * firstPart + random.nextInt(60);
            String preferred = place(here, firstPart, session).getFirst();
            place(there, 1 + random.nextInt(FIRST_PARTS), random.nextInt(3_000));
            same += there.holders(firstPart, session, TOKENS, ENGINES, engine -> engine)
                            .getFirst()
                            .equals(preferred)
                    ? 1
                    : 0;
        }
        assertThat(same).isGreaterThan(1_000);
    }
}
