package org.fuchsiatrail.internal.load;

import java.util.OptionalInt;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against predictions that do not follow the upstreams: requests that could be answered are refused, and slow
 * engines get as much work as fast ones.
 */
class EngineModelTest {

    private static final double FIXED_MILLIS = 41;
    private static final double TOKENS_PER_MILLISECOND = 82;

    private final SplittableRandom random = new SplittableRandom(5);
    private final ServiceModel service = new ServiceModel();
    private final EngineModel engine = new EngineModel(service);
    private long now = 1_000_000;

    /** Lets a model observe prompts of different lengths for a time; a third of them waits for unknown work. */
    private void observe(EngineModel model, long millis, long intervalMillis, double slowness) {
        for (long end = now + millis; now < end; now += intervalMillis) {
            long tokens = random.nextLong(500, 6_000);
            double unknownMillis = random.nextInt(3) == 0 ? random.nextDouble(600) : random.nextDouble(4);
            double time = (FIXED_MILLIS + tokens / TOKENS_PER_MILLISECOND) * slowness + unknownMillis;
            model.observeFirstEvent(now, tokens, Math.round(time));
        }
    }

    private double predicted(long tokens) {
        return predicted(engine, tokens);
    }

    private double predicted(EngineModel model, long tokens) {
        EngineSpeed speed = model.speed(now);
        return speed.fixedMillis() + speed.prefillMillis(tokens);
    }

    private static double expected(long tokens, double slowness) {
        return (FIXED_MILLIS + tokens / TOKENS_PER_MILLISECOND) * slowness;
    }

    @Test
    void should_assume_the_times_of_earlier_deployments_before_observations() {
        assertThat(predicted(3_800)).isCloseTo(100, within(0.01));
        assertThat(engine.speed(now).callMillis()).isEqualTo(80);
        assertThat(engine.speed(now).placeMillis()).isEqualTo(300);
    }

    @Test
    void should_learn_the_fixed_time_and_the_rate_although_some_requests_wait_for_unknown_work() {
        observe(engine, 2_000, 60, 1);
        for (long tokens : new long[] {500, 3_000, 9_000}) {
            assertThat(predicted(tokens)).isCloseTo(expected(tokens, 1), within(expected(tokens, 0.25)));
        }
    }

    @Test
    void should_learn_from_prompts_of_which_half_have_shared_parts_read_again() {
        for (int request = 0; request < 48; request++) {
            long own = random.nextLong(200, 6_000);
            long read = own + (random.nextInt(2) == 0 ? 6_300 : 0);
            double millis = expected(read, 1) + random.nextDouble(20);
            engine.observeUnknownPrompt(now += 40, own, Math.round(millis));
        }
        assertThat(predicted(9_000)).isCloseTo(expected(9_000, 1), within(expected(9_000, 0.35)));
    }

    @Test
    void should_predict_an_unused_engine_by_the_others_of_its_service() {
        observe(new EngineModel(service), 2_000, 60, 1);
        assertThat(predicted(3_000)).isCloseTo(expected(3_000, 1), within(expected(3_000, 0.25)));
    }

    @Test
    void should_follow_an_engine_that_becomes_slower_and_is_mended_within_two_seconds() {
        EngineModel others = new EngineModel(service);
        for (double slowness : new double[] {1, 4, 1}) {
            for (int round = 0; round < 20; round++) {
                observe(others, 90, 15, 1);
                observe(engine, 10, 10, slowness);
            }
            assertThat(predicted(3_000) / expected(3_000, slowness))
                    .as("%s times slower", slowness)
                    .isBetween(0.6, 1.5);
        }
    }

    @Test
    void should_forget_what_a_replaced_engine_was_like() {
        EngineModel others = new EngineModel(service);
        observe(others, 2_000, 30, 1);
        observe(engine, 100, 10, 4);
        engine.reset();
        assertThat(predicted(3_000)).isEqualTo(predicted(new EngineModel(service), 3_000));
    }

    @Test
    void should_change_little_by_one_late_answer() {
        EngineModel others = new EngineModel(service);
        observe(others, 2_000, 30, 1);
        observe(engine, 200, 30, 1);
        double before = predicted(3_000);
        engine.observeFirstEvent(now, 3_000, 4_000);
        assertThat(predicted(3_000)).isCloseTo(before, within(0.3 * before));
    }

    @Test
    void should_scale_by_the_pace_while_its_report_is_new() {
        assertThat(engine.tellsPace()).isFalse();
        engine.observePace(now, OptionalInt.of(250));
        assertThat(engine.tellsPace()).isTrue();
        assertThat(engine.speed(now).callMillis()).isCloseTo(200, within(0.01));
        assertThat(engine.speed(now + 2_000).callMillis()).isCloseTo(80, within(1.0));
    }

    @Test
    void should_learn_the_time_of_calls() {
        for (int call = 0; call < 20; call++) {
            engine.observeCall(now += 50, 43);
        }
        assertThat(engine.speed(now).callMillis()).isCloseTo(43, within(1.0));
    }
}
