package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;
import java.util.stream.Stream;

import org.fuchsiatrail.ResultCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against streams that are cut because other routers, which meet the same silence of engines, refuse them. */
class StreamCutAfterRefusedRelayTest {

    private static final String[] ENGINES = {"one", "two", "three", "four", "five", "six"};
    private static final long STREAM_MILLIS = 8_000;

    @ParameterizedTest
    @CsvSource({
        "18,1,1600,WITHOUT_PATH",
        "18,2,1600,WITHOUT_PATH",
        "18,6,1600,WITHOUT_PATH",
        "60,1,1600,WITHOUT_PATH",
        "60,2,1600,WITHOUT_PATH",
        "60,6,1600,WITHOUT_PATH",
        "18,2,1800,WITHOUT_PATH",
        "60,2,1800,WITHOUT_PATH",
        "60,6,1800,WITHOUT_PATH",
        "18,1,1600,NO_UPSTREAM",
        "18,2,1600,NO_UPSTREAM",
        "18,6,1800,NO_UPSTREAM",
        "60,2,1600,NO_UPSTREAM",
        "60,6,1800,OVERLOADED",
        "18,2,1600,OVERLOADED",
        "18,2,1600,STOPPING"
    })
    void should_cut_no_stream_when_routers_refuse_it_and_engines_go_on(
            int streams, int routers, long silenceMillis, ResultCode refusal) {
        StreamingEngines engines = new StreamingEngines(64, ENGINES);
        for (int number = 2; number < 2 + routers; number++) {
            engines.registerRouter("vm-" + number);
        }
        engines.refusalOfRouters = Optional.of(refusal);
        engines.begin(streams);
        engines.silence(ENGINES);
        engines.advanceTime(silenceMillis);
        engines.endSilence();
        engines.advanceTime(STREAM_MILLIS);
        assertThat(engines.relayed).as("streams sent to routers").isPositive();
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.left).as("callers that left").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(streams);
    }

    /** Without a connection to two engines, a broken stream is relayed; there are retries for both and one more. */
    @ParameterizedTest
    @EnumSource(names = {"NO_UPSTREAM", "OVERLOADED", "STOPPING"})
    void should_cut_no_broken_stream_when_a_router_refuses_it(ResultCode refusal) {
        StreamingEngines engines = new StreamingEngines(64, ENGINES);
        engines.registerRouter("vm-2");
        engines.refusalOfRouters = Optional.of(refusal);
        engines.begin(1);
        engines.spendRetries(14);
        String broken = Stream.of(ENGINES)
                .filter(engine -> engines.running(engine) > 0)
                .findFirst()
                .orElseThrow();
        engines.connectionsToFail = 2;
        engines.reset(broken);
        engines.advanceTime(STREAM_MILLIS);
        assertThat(engines.relayed).as("streams sent to routers").isEqualTo(1);
        assertThat(engines.aborted()).as("streams cut by the router").isZero();
        assertThat(engines.completed).as("complete streams").isEqualTo(1);
    }
}
