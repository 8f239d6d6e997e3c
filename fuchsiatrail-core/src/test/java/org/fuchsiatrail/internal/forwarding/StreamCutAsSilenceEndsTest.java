package org.fuchsiatrail.internal.forwarding;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that are given up because other engines were heard first after a common silence. */
class StreamCutAsSilenceEndsTest {

    private static final int STREAMS = 18;
    private static final long SILENCE_MILLIS = 1_150;
    private static final long STREAM_MILLIS = 8_000;

    private static StreamingEngines silentEngines() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three", "four", "five", "six");
        engines.registerRouter("vm-2");
        engines.begin(STREAMS);
        engines.silence("one", "two", "three", "four", "five");
        engines.advanceTime(SILENCE_MILLIS);
        return engines;
    }

    private static void assertAllCompletedInOneRun(StreamingEngines engines) {
        engines.advanceTime(STREAM_MILLIS);
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.left).as("callers that left").isZero();
        assertThat(engines.relayed).as("streams sent to the router").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(STREAMS);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
    }

    /** Engines that go on at the same moment are heard one connection after the other. */
    @ParameterizedTest
    @ValueSource(longs = {50, 100, 200, 250})
    void should_keep_the_streams_of_engines_that_are_heard_after_others(long laterMillis) {
        StreamingEngines engines = silentEngines();
        engines.endSilence("one", "two", "three");
        engines.advanceTime(laterMillis);
        engines.endSilence();
        assertAllCompletedInOneRun(engines);
    }

    @Test
    void should_keep_streams_when_engines_go_on_one_after_the_other() {
        StreamingEngines engines = silentEngines();
        for (String engine : new String[] {"one", "two", "three", "four", "five"}) {
            engines.endSilence(engine);
            engines.advanceTime(50);
        }
        assertAllCompletedInOneRun(engines);
    }

    /** An engine that stays silent when the others go on is noticed before callers leave. */
    @Test
    void should_continue_streams_elsewhere_when_their_engine_stays_silent_after_the_others() {
        StreamingEngines engines = silentEngines();
        long moved = engines.running("five");
        engines.endSilence("one", "two", "three", "four");
        engines.advanceTime(STREAM_MILLIS);
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.left).as("callers that left").isZero();
        assertThat(engines.relayed).as("streams sent to the router").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(STREAMS);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS + (int) moved);
    }

    /** Streams of several engines that are given up at once go to the places that were found, not to a router. */
    @Test
    void should_continue_streams_at_the_places_that_were_found_for_them() {
        StreamingEngines engines = silentEngines();
        engines.advanceTime(STREAM_MILLIS);
        assertThat(engines.relayed).as("streams sent to the router").isZero();
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.left).as("callers that left").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(STREAMS);
    }
}
