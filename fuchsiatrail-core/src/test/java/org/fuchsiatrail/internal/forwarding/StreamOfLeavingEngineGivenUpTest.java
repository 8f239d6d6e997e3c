package org.fuchsiatrail.internal.forwarding;

import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams of a draining engine that are given up in a silence that it has in common with others. */
class StreamOfLeavingEngineGivenUpTest {

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_keep_the_streams_of_a_draining_engine_in_a_common_silence(boolean draining) {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three", "four", "five", "six");
        engines.begin(18);
        engines.router.register(
                ForwardingFixture.entry("five", "tutors", 64, Map.of(ForwardingFixture.MODEL, 1L), draining, 1));
        engines.silence("one", "two", "three", "four", "five");
        engines.advanceTime(1_150);
        engines.endSilence();
        engines.advanceTime(8_000);
        assertThat(engines.completed).as("complete streams").isEqualTo(18);
        assertThat(engines.runs).as("runs").isEqualTo(18);
    }
}
