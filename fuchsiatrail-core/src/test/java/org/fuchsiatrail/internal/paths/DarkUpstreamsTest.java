package org.fuchsiatrail.internal.paths;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DarkUpstreamsTest {

    private static final UpstreamId ENGINE = new UpstreamId("e1@1");

    private final DarkUpstreams dark = new DarkUpstreams();

    @Test
    void should_tell_a_sight_once_and_repeat_it_while_the_upstream_stays_dark() {
        assertThat(dark.observe(ENGINE, 1_000)).isTrue();
        assertThat(dark.observe(ENGINE, 1_400)).isFalse();
        assertThat(dark.drainUnsent(1_200)).containsExactly(new PeerMessage.DarkUpstream(ENGINE, 200));
        assertThat(dark.observe(ENGINE, 1_800)).isTrue();
        assertThat(dark.hasUnsent()).isTrue();
    }

    @Test
    void should_pass_on_only_what_is_new() {
        assertThat(dark.receive(new PeerMessage.DarkUpstream(ENGINE, 300), 1_300))
                .isTrue();
        assertThat(dark.receive(new PeerMessage.DarkUpstream(ENGINE, 500), 1_500))
                .isFalse();
        assertThat(dark.hasUnsent()).isFalse();
    }

    @Test
    void should_believe_an_answer_that_is_newer_than_the_report() {
        dark.receive(new PeerMessage.DarkUpstream(ENGINE, 300), 10_000);
        assertThat(dark.isDark(ENGINE, 9_600, 10_000)).isTrue();
        assertThat(dark.isDark(ENGINE, 9_750, 10_000)).isFalse();
    }

    @Test
    void should_forget_a_report_and_ignore_an_old_or_impossible_one() {
        dark.observe(ENGINE, 10_000);
        assertThat(dark.isDark(ENGINE, 0, 10_000 + DarkUpstreams.VALIDITY_MILLIS))
                .isFalse();
        assertThat(dark.receive(new PeerMessage.DarkUpstream(ENGINE, DarkUpstreams.VALIDITY_MILLIS), 20_000))
                .isFalse();
        assertThat(dark.receive(new PeerMessage.DarkUpstream(ENGINE, -1), 20_000))
                .isFalse();
    }
}
