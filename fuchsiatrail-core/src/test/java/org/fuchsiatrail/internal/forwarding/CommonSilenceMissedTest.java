package org.fuchsiatrail.internal.forwarding;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against common silence that is noticed only at the moments at which a stream is looked at. */
class CommonSilenceMissedTest {

    private static StreamingEngines engines() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three", "four", "five", "six");
        engines.registerRouter("vm-2");
        engines.begin(18);
        return engines;
    }

    /** Half of the engines are heard before the first stream is looked at. */
    @ParameterizedTest
    @ValueSource(longs = {800, 900, 950, 1_000, 1_050})
    void should_keep_streams_when_common_silence_ends_before_a_stream_is_looked_at(long silenceMillis) {
        StreamingEngines engines = engines();
        engines.silence("one", "two", "three", "four", "five");
        engines.advanceTime(silenceMillis);
        engines.endSilence("one", "two", "three");
        engines.advanceTime(250);
        engines.endSilence();
        engines.advanceTime(8_000);
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.relayed).as("streams sent to the router").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(18);
        assertThat(engines.runs).as("runs").isEqualTo(18);
    }

    /** The paths of this router to all engines are cut, and some of the engines had no request of this router. */
    @Test
    void should_continue_streams_through_another_router_when_no_engine_is_heard() {
        StreamingEngines engines = engines();
        for (String name : new String[] {"seven", "eight"}) {
            engines.router.register(
                    ForwardingFixture.entry(name, "tutors", 64, Map.of(ForwardingFixture.MODEL, 1L), false, 1));
        }
        engines.silence("one", "two", "three", "four", "five", "six", "seven", "eight");
        engines.advanceTime(1_800);
        int onDeadPaths = engines.runs - 18;
        assertThat(engines.relayed)
                .as("sent to the router, while %s went to silent engines", onDeadPaths)
                .isGreaterThan(onDeadPaths);
    }
}
