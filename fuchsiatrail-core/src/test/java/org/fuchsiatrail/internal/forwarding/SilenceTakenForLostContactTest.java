package org.fuchsiatrail.internal.forwarding;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a lost contact with all upstreams that is reported although they are silent for about a second. */
class SilenceTakenForLostContactTest {

    private static final String LOST = "Contact with all upstreams of a service lost.";
    private static final String SILENT = "All upstreams of a service are silent.";

    private final StreamingEngines engines = new StreamingEngines(64, "one", "two");

    @BeforeEach
    void begin() {
        engines.begin(14);
    }

    @Test
    void should_report_upstreams_as_silent_when_they_are_for_a_second() {
        engines.silence("one", "two");
        engines.advanceTime(1_300);
        engines.endSilence();
        engines.advanceTime(2_000);
        assertThat(engines.logged(LOST)).isEmpty();
        assertThat(engines.logged(SILENT)).hasSize(1);
    }

    @Test
    void should_report_the_contact_as_lost_when_silence_lasts() {
        engines.silence("one", "two");
        engines.advanceTime(2_100);
        assertThat(engines.logged(LOST)).hasSize(1);
    }

    @Test
    void should_report_the_contact_as_lost_at_once_when_all_connections_break() {
        engines.silence("one", "two");
        engines.reset("one");
        engines.reset("two");
        engines.advanceTime(500);
        assertThat(engines.logged(LOST)).hasSize(1);
        assertThat(engines.logged(SILENT)).isEmpty();
    }
}
