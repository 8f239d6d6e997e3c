package org.fuchsiatrail.internal.forwarding;

import java.util.Collections;

import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that are cut although their engine goes on, because no other engine has begun to continue. */
class StreamCutBeforeItsReplacementBeganTest {

    private static final int STREAMS = 18;
    private static final long STREAM_MILLIS = 8_000;
    private static final String[] OTHERS = {"two", "three", "four", "five", "six"};

    private static StreamingEngines engines() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three", "four", "five", "six");
        engines.begin(STREAMS);
        return engines;
    }

    private static void assertAllCompleted(StreamingEngines engines) {
        engines.advanceTime(STREAM_MILLIS);
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.left).as("callers that left").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(STREAMS);
    }

    private static void playSilence(StreamingEngines engines, long silenceMillis) {
        engines.silence("one");
        engines.advanceTime(silenceMillis);
        engines.endSilence();
        assertAllCompleted(engines);
    }

    /** The other engines are full of requests that this router does not know. */
    @ParameterizedTest
    @ValueSource(longs = {1_050, 1_200, 1_400, 1_700})
    void should_keep_a_silent_stream_when_other_engines_refuse_it(long silenceMillis) {
        StreamingEngines engines = engines();
        engines.refuseNew(OTHERS);
        playSilence(engines, silenceMillis);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_050, 1_200, 1_400, 1_700})
    void should_keep_a_silent_stream_when_the_connections_of_its_replacements_break(long silenceMillis) {
        StreamingEngines engines = engines();
        engines.breakNew(OTHERS);
        playSilence(engines, silenceMillis);
    }

    @Test
    void should_keep_a_silent_stream_when_its_replacement_breaks_with_no_retry_left() {
        StreamingEngines engines = engines();
        engines.spendRetries(28);
        engines.breakNew(OTHERS);
        playSilence(engines, 1_300);
    }

    /** The place that was found does not respond either. */
    @Test
    void should_continue_with_the_engine_that_is_heard_first() {
        StreamingEngines engines = engines();
        long held = engines.running("one");
        engines.silence("one");
        engines.advanceTime(950);
        engines.silence(OTHERS);
        engines.advanceTime(350);
        engines.endSilence("one");
        engines.advanceTime(100);
        assertThat(engines.running("one"))
                .as("runs on the engine that is heard")
                .isEqualTo(held);
        assertThat(engines.router.all(ForwardingOutput.Cancel.class))
                .as("cancelled replacements")
                .hasSize((int) held);
        engines.endSilence();
        assertAllCompleted(engines);
        assertThat(Collections.max(engines.longestPauseMillis.values())).isLessThanOrEqualTo(1_400);
    }

    @Test
    void should_run_a_stream_at_one_engine_only_once_its_replacement_has_begun() {
        StreamingEngines engines = engines();
        long moved = engines.running("one");
        engines.silence("one");
        engines.advanceTime(1_400);
        assertThat(engines.running("one")).as("runs on the silent engine").isZero();
        assertThat(engines.router.all(ForwardingOutput.Cancel.class)).hasSize((int) moved);
        assertAllCompleted(engines);
    }

    /** Retries are left again once further requests have arrived. */
    @Test
    void should_wait_for_a_retry_when_the_connection_of_a_stream_breaks() {
        StreamingEngines engines = engines();
        engines.spendRetries(60);
        engines.reset("one");
        assertThat(engines.aborted()).as("streams cut at once").isZero();
        engines.advanceTime(300);
        engines.beginMore(40);
        engines.advanceTime(STREAM_MILLIS);
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(STREAMS + 40);
    }
}
