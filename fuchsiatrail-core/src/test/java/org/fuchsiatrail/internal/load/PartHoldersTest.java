package org.fuchsiatrail.internal.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sessions whose parts are read by engine after engine: replays prompts of many sessions, one of them in
 * a third of the prompts, at routers that measure different loads.
 */
class PartHoldersTest {

    private static final int SESSIONS = 3_000;
    private static final long TOKENS = 6_300;
    private static final String HOT = "hot";
    private static final List<String> ENGINES =
            IntStream.range(0, 98).mapToObj(number -> "engine-" + number).toList();

    private final SplittableRandom random = new SplittableRandom(3);

    private static List<String> place(PartHolders router, String session) {
        List<String> holders = router.holders(session, TOKENS, ENGINES, engine -> engine);
        router.record(session, TOKENS);
        return holders;
    }

    private String coldSession() {
        return "session-" + random.nextInt(SESSIONS);
    }

    @Test
    void should_name_the_same_first_holder_at_routers_of_different_loads() {
        PartHolders here = new PartHolders();
        PartHolders there = new PartHolders();
        for (int number = 0; number < 2_000; number++) {
            String session = number % 3 == 0 ? HOT : coldSession();
            place(there, coldSession());
            assertThat(there.holders(session, TOKENS, ENGINES, engine -> engine).getFirst())
                    .isEqualTo(place(here, session).getFirst());
        }
    }

    @Test
    void should_hold_cold_sessions_on_one_engine_each_and_use_all_engines_alike() {
        PartHolders router = new PartHolders();
        Map<String, Integer> sessionsByEngine = new HashMap<>();
        for (int session = 0; session < SESSIONS; session++) {
            List<String> holders = place(router, "session-" + session);
            assertThat(holders).hasSize(1);
            sessionsByEngine.merge(holders.getFirst(), 1, Integer::sum);
        }
        assertThat(sessionsByEngine).hasSize(ENGINES.size());
        assertThat(sessionsByEngine.values()).allMatch(sessions -> sessions < 2 * SESSIONS / ENGINES.size());
    }

    @Test
    void should_give_a_hot_session_several_holders_and_shrink_them_when_it_cools() {
        PartHolders router = new PartHolders();
        for (int number = 0; number < 200; number++) {
            place(router, number % 3 == 0 ? HOT : coldSession());
        }
        assertThat(place(router, HOT)).hasSizeBetween(49, 80);
        for (int number = 0; number < 200; number++) {
            place(router, coldSession());
        }
        assertThat(place(router, HOT)).hasSize(1);
    }

    @Test
    void should_name_one_holder_before_the_load_is_measured() {
        PartHolders router = new PartHolders();
        for (int number = 0; number < 10; number++) {
            assertThat(place(router, HOT)).hasSize(1);
        }
    }
}
