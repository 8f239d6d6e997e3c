package org.fuchsiatrail.internal.forwarding;

import java.util.Collections;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that are run again, or cut, because their engine is silent for about a second. */
class StreamGivenUpOnSilentEngineTest {

    private static final int STREAMS = 14;
    private static final long SILENCE_MILLIS = 1_300;
    private static final long STREAM_MILLIS = 8_000;

    private static StreamingEngines playSilence(StreamingEngines engines, String... silent) {
        engines.begin(STREAMS);
        engines.silence(silent);
        engines.advanceTime(SILENCE_MILLIS);
        engines.endSilence();
        engines.advanceTime(STREAM_MILLIS);
        return engines;
    }

    private static void assertAllCompleted(StreamingEngines engines) {
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.left).as("callers that left").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(STREAMS);
    }

    @Test
    void should_run_no_stream_twice_when_all_engines_are_silent_for_a_second() {
        StreamingEngines engines = playSilence(new StreamingEngines(64, "one", "two"), "one", "two");
        assertAllCompleted(engines);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
    }

    @Test
    void should_run_no_stream_twice_when_most_engines_are_silent_for_a_second() {
        StreamingEngines engines = playSilence(new StreamingEngines(64, "one", "two", "three"), "one", "two");
        assertAllCompleted(engines);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
    }

    @Test
    void should_cut_no_stream_when_configurations_change_while_engines_are_silent() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two");
        engines.begin(STREAMS);
        engines.silence("one", "two");
        for (int version = 2; version <= 5; version++) {
            engines.router.put("configuration", new StoreItemContent.Routing(ForwardingFixture.table(version)));
            engines.advanceTime(SILENCE_MILLIS / 4);
        }
        engines.endSilence();
        engines.advanceTime(STREAM_MILLIS);
        assertAllCompleted(engines);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
    }

    /** The other engine refused what was moved to it, and the streams were cut 0.8 s later. */
    @Test
    void should_cut_no_stream_when_the_other_engine_has_no_place() {
        StreamingEngines engines = playSilence(new StreamingEngines(STREAMS / 2, "one", "two"), "one");
        assertAllCompleted(engines);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
        assertThat(engines.logged("Silent attempt kept."))
                .isNotEmpty()
                .allMatch(line -> line.fields().get("reason").equals("no other upstream has a place"));
    }

    @Test
    void should_cut_no_stream_when_there_is_no_other_engine() {
        StreamingEngines engines = playSilence(new StreamingEngines(64, "one"), "one");
        assertAllCompleted(engines);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 18, 30})
    void should_cut_no_stream_when_few_retries_are_left(int retriesSpent) {
        StreamingEngines engines = new StreamingEngines(64, "one", "two");
        engines.begin(STREAMS);
        engines.spendRetries(retriesSpent);
        engines.silence("one");
        engines.advanceTime(SILENCE_MILLIS);
        engines.endSilence();
        engines.advanceTime(STREAM_MILLIS);
        assertAllCompleted(engines);
    }

    @Test
    void should_tell_that_a_silent_stream_stays_for_want_of_retries() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two");
        engines.begin(STREAMS);
        engines.spendRetries(30);
        engines.silence("one");
        engines.advanceTime(SILENCE_MILLIS);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
        assertThat(engines.logged("Silent attempt kept."))
                .isNotEmpty()
                .allMatch(line -> line.fields().get("reason").equals("retry budget is spent"));
    }

    /** A stream that began at the last permitted attempt was given up, and then not sent again. */
    @Test
    void should_not_give_up_a_stream_that_may_not_be_sent_again() {
        ForwardingFixture router = new ForwardingFixture();
        router.configured();
        for (String name : new String[] {"one", "two", "three", "four", "five"}) {
            router.register(router.engine(name, 1));
        }
        router.start();
        router.advanceTime(CallTiming.WARM_UP_MILLIS);
        RequestId request = router.call("/ask/1");
        for (int send = 1; send < CallTiming.MAXIMUM_SENDS; send++) {
            router.answerNotExecuted(router.send(request));
        }
        router.started(router.send(request));
        router.advanceTime(SILENCE_MILLIS);
        assertThat(router.sends(request)).hasSize(CallTiming.MAXIMUM_SENDS);
        assertThat(router.isAborted(request)).isFalse();
    }

    @Test
    void should_continue_a_stream_at_a_free_engine_when_its_own_alone_is_silent() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two");
        engines.begin(STREAMS);
        long moved = engines.running("one");
        engines.silence("one");
        engines.advanceTime(STREAM_MILLIS);
        assertAllCompleted(engines);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS + (int) moved);
        assertThat(Collections.max(engines.longestPauseMillis.values())).isLessThanOrEqualTo(1_150);
    }

    @Test
    void should_complete_all_streams_when_one_engine_is_silent_for_a_second() {
        StreamingEngines engines = playSilence(new StreamingEngines(64, "one", "two"), "one");
        assertAllCompleted(engines);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS + STREAMS / 2);
    }

    @Test
    void should_continue_a_stream_as_soon_as_a_place_is_free() {
        StreamingEngines engines = new StreamingEngines(STREAMS / 2, "one", "two");
        engines.begin(STREAMS);
        engines.silence("one");
        engines.advanceTime(1_200);
        assertThat(engines.runs).as("runs while there is no place").isEqualTo(STREAMS);
        engines.leave("two");
        engines.advanceTime(100);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS + 1);
    }

    @Test
    void should_continue_streams_elsewhere_before_callers_leave_when_most_engines_stay_silent() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three");
        engines.begin(STREAMS);
        engines.silence("one", "two");
        engines.advanceTime(STREAM_MILLIS);
        assertAllCompleted(engines);
    }

    @Test
    void should_continue_streams_through_another_router_when_all_engines_stay_silent() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two");
        engines.registerRouter("vm-2");
        engines.begin(STREAMS);
        engines.silence("one", "two");
        engines.advanceTime(SILENCE_MILLIS);
        assertThat(engines.relayed).as("streams sent to the router").isZero();
        engines.advanceTime(300);
        assertThat(engines.relayed).as("streams sent to the router").isEqualTo(STREAMS);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS);
    }

    @ParameterizedTest
    @CsvSource({"one", "two"})
    void should_continue_streams_elsewhere_at_once_when_their_connections_break(String broken) {
        StreamingEngines engines = new StreamingEngines(64, "one", "two");
        engines.begin(STREAMS);
        long moved = engines.running(broken);
        engines.reset(broken);
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS + (int) moved);
        engines.advanceTime(STREAM_MILLIS);
        assertAllCompleted(engines);
    }

    @Test
    void should_continue_streams_elsewhere_at_once_when_a_connection_breaks_while_all_are_silent() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two", "three");
        engines.begin(STREAMS);
        engines.silence("one", "two");
        engines.advanceTime(500);
        long moved = engines.running("one");
        engines.reset("one");
        assertThat(engines.runs).as("runs").isEqualTo(STREAMS + (int) moved);
    }

    @Test
    void should_count_streams_that_are_given_up() {
        StreamingEngines engines = new StreamingEngines(64, "one", "two");
        engines.begin(STREAMS);
        long moved = engines.running("one");
        engines.silence("one");
        engines.advanceTime(1_200);
        assertThat(engines.router.all(ForwardingOutput.Count.class).stream()
                        .filter(count -> count.metric().equals("attempts.given-up")))
                .hasSize((int) moved);
    }
}
