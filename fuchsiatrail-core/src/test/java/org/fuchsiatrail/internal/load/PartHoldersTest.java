package org.fuchsiatrail.internal.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against parts that are read by engine after engine: replays prompts of few first parts and many sessions, one
 * of them in a third of the prompts, at routers that measure different loads.
 */
class PartHoldersTest {

    private static final int SESSIONS = 3_000;
    private static final PartHolders.Prompt HOT = prompt("hot", "hot-session");
    private static final List<String> ENGINES =
            IntStream.range(0, 98).mapToObj(number -> "engine-" + number).toList();

    private final SplittableRandom random = new SplittableRandom(3);

    private static PartHolders.Prompt prompt(String firstPart, String session) {
        return new PartHolders.Prompt(firstPart, session, 6_300);
    }

    private static PartHolders.Holders<String> place(PartHolders router, PartHolders.Prompt prompt) {
        PartHolders.Holders<String> holders = router.holders(prompt, ENGINES, engine -> engine);
        router.record(prompt);
        return holders;
    }

    private static String firstHolder(PartHolders router, PartHolders.Prompt prompt) {
        return router.holders(prompt, ENGINES, engine -> engine).ofSession().getFirst();
    }

    /** A prompt of one of 50 first parts. */
    private PartHolders.Prompt cold() {
        int session = random.nextInt(SESSIONS);
        return prompt("part-" + session % 50, "session-" + session);
    }

    private void placeMany(PartHolders router, int prompts, boolean hot) {
        for (int number = 0; number < prompts; number++) {
            place(router, hot && number % 3 == 0 ? HOT : cold());
        }
    }

    @Test
    void should_name_nearly_the_same_holders_at_routers_of_different_prompts() {
        PartHolders here = new PartHolders();
        PartHolders there = new PartHolders();
        placeMany(here, 200, true);
        placeMany(there, 200, true);
        int same = 0;
        for (int number = 0; number < 300; number++) {
            PartHolders.Prompt prompt = prompt("hot", "session-" + number);
            same += firstHolder(here, prompt).equals(firstHolder(there, prompt)) ? 1 : 0;
        }
        assertThat(same).isGreaterThan(200);
    }

    @Test
    void should_hold_cold_first_parts_on_few_engines_and_use_all_engines_alike() {
        PartHolders router = new PartHolders();
        placeMany(router, 200, false);
        Map<String, Integer> sessionsByEngine = new HashMap<>();
        int holdersOfFirstParts = 0;
        for (int number = 0; number < SESSIONS; number++) {
            PartHolders.Holders<String> holders = place(router, cold());
            assertThat(holders.ofSession()).hasSizeBetween(1, 2);
            holdersOfFirstParts += holders.ofFirstPart().size();
            sessionsByEngine.merge(holders.ofSession().getFirst(), 1, Integer::sum);
        }
        assertThat(holdersOfFirstParts / SESSIONS).isLessThanOrEqualTo(8);
        assertThat(sessionsByEngine).hasSizeGreaterThan(ENGINES.size() * 9 / 10);
    }

    @Test
    void should_give_a_hot_session_several_holders_and_shrink_them_when_it_cools() {
        PartHolders router = new PartHolders();
        placeMany(router, 200, true);
        assertThat(place(router, HOT).ofSession()).hasSizeBetween(49, 80);
        placeMany(router, 200, false);
        assertThat(place(router, HOT).ofSession()).hasSize(1);
    }

    @Test
    void should_use_all_engines_before_the_load_is_measured() {
        PartHolders.Holders<String> holders = place(new PartHolders(), HOT);
        assertThat(holders.ofFirstPart()).hasSize(ENGINES.size());
        assertThat(holders.ofSession()).hasSize(1);
        assertThat(new PartHolders()
                        .holders(HOT, List.<String>of(), engine -> engine)
                        .ofSession())
                .isEmpty();
    }
}
