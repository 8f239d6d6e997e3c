package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RequestedPause;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards the effect of a requested pause on one router. */
class RequestedPausesTest {

    private static final long MAXIMUM_PAUSE_MILLIS = 600_000;

    private final ForwardingFixture fixture = new ForwardingFixture().configured();

    @BeforeEach
    void startWithOneService() {
        fixture.register(fixture.recordService("s1")).start();
    }

    private RequestId turnAway(String text, OptionalLong millis) {
        RequestId request = fixture.call("/read/1");
        fixture.deliverEvent(
                fixture.send(request),
                new AttemptEvent.Answered(AttemptEvent.Head.builder(503)
                        .notExecuted(true)
                        .requestedPause(Optional.of(new RequestedPause(text, millis)))
                        .build()));
        return request;
    }

    private long logged(String message) {
        return fixture.all(ForwardingOutput.LogEvent.class).stream()
                .filter(event -> event.message().equals(message))
                .count();
    }

    private void receivePause(String incarnation, long millisLeft) {
        PeerMessage.ForwardingNews news = PeerMessage.ForwardingNews.builder(fixture.self(), 0)
                .pauses(List.of(new PeerMessage.SeenPause(new UpstreamId(incarnation), millisLeft)))
                .build();
        fixture.tick(new ForwardingInput.PeerMessageReceived(new EntryVmId("vm-2"), news));
    }

    @Test
    void should_refuse_the_request_that_was_turned_away_until_the_end_of_the_pause() {
        RequestId request = turnAway("3", OptionalLong.of(3_000));
        assertThat(fixture.refusal(request)).hasValueSatisfying(refusal -> {
            assertThat(refusal.code()).isEqualTo(ResultCode.OVERLOADED);
            assertThat(refusal.retryAfterMillis()).isBetween(3_000L, 3_750L);
        });
    }

    @Test
    void should_send_one_request_first_after_the_pause() {
        turnAway("3", OptionalLong.of(3_000));
        fixture.advanceTime(2_990);
        assertThat(fixture.sends(fixture.call("/read/2"))).isEmpty();
        fixture.advanceTime(3_000);
        RequestId first = fixture.call("/read/3");
        RequestId second = fixture.call("/read/4");
        assertThat(fixture.sends(first)).hasSize(1);
        assertThat(fixture.sends(second)).isEmpty();
        fixture.answered(fixture.send(first), 200);
        fixture.advanceTime(25);
        assertThat(fixture.sends(second)).hasSize(1);
    }

    @Test
    void should_shorten_a_pause_beyond_the_bound_and_log_it_once() {
        turnAway("99999999", OptionalLong.of(99_999_999_000L));
        fixture.advanceTime(MAXIMUM_PAUSE_MILLIS - 10);
        assertThat(fixture.sends(fixture.call("/read/2"))).isEmpty();
        fixture.advanceTime(20);
        assertThat(fixture.sends(fixture.call("/read/3"))).hasSize(1);
        assertThat(logged("Pause that an upstream asks for exceeds the bound; shortened."))
                .isEqualTo(1);
    }

    @Test
    void should_ignore_an_unreadable_pause_and_log_it_once() {
        turnAway("soon", OptionalLong.empty());
        fixture.advanceTime(100);
        turnAway("soon", OptionalLong.empty());
        fixture.advanceTime(100);
        assertThat(fixture.sends(fixture.call("/read/3"))).hasSize(1);
        assertThat(logged("Pause that an upstream asks for is unreadable; ignored."))
                .isEqualTo(1);
    }

    @Test
    void should_use_an_upstream_that_restarted_under_the_same_id_at_once() {
        turnAway("3", OptionalLong.of(3_000));
        fixture.register(ForwardingFixture.entry("s1", "records", 6, Map.of(), false, 2));
        assertThat(fixture.sends(fixture.call("/read/2"))).hasSize(1);
    }

    @Test
    void should_keep_a_pause_when_the_entry_is_removed_and_comes_back() {
        turnAway("3", OptionalLong.of(3_000));
        fixture.remove("servers/s1");
        fixture.advanceTime(100);
        fixture.register(fixture.recordService("s1"));
        assertThat(fixture.sends(fixture.call("/read/2"))).isEmpty();
    }

    @Test
    void should_use_an_upstream_that_pauses_at_a_peer_only_without_another() {
        receivePause("s1@1", 3_000);
        assertThat(fixture.sends(fixture.call("/read/2"))).hasSize(1);
        fixture.register(fixture.recordService("s2"));
        for (int number = 3; number < 10; number++) {
            assertThat(fixture.send(fixture.call("/read/" + number)).dispatch().upstream())
                    .isEqualTo(new UpstreamId("s2"));
        }
    }

    @Test
    void should_tell_peers_of_a_pause() {
        fixture.put("members/vm-2", new StoreItemContent.Member(new ForwardingFixture("vm-2").self(), "10.0.0.2:80"));
        turnAway("3", OptionalLong.of(3_000));
        fixture.advanceTime(10);
        assertThat(fixture.all(ForwardingOutput.SendToPeer.class))
                .filteredOn(sent -> sent.message() instanceof PeerMessage.ForwardingNews news
                        && news.pauses().contains(new PeerMessage.SeenPause(new UpstreamId("s1@1"), 3_000)))
                .hasSize(1);
    }
}
