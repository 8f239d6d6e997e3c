package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against the quarantine of a popular request that was running on upstreams that crashed for other reasons. */
class HarmlessRequestQuarantinedTest {

    private static final String POPULAR = "/read/popular";

    private final ForwardingFixture router = new ForwardingFixture("vm-1");
    private final ForwardingFixture peer = new ForwardingFixture("vm-2");
    private int upstreams;

    @BeforeEach
    void register_upstreams() {
        for (ForwardingFixture fixture : List.of(router, peer)) {
            fixture.configured();
        }
        for (int index = 0; index < 12; index++) {
            registerUpstream();
        }
        router.start();
        peer.start();
    }

    private void registerUpstream() {
        String id = "u" + ++upstreams;
        router.register(ForwardingFixture.entry(id, "records", 6, Map.of(), false, 1));
        peer.register(ForwardingFixture.entry(id, "records", 6, Map.of(), false, 1));
    }

    /** Ends the upstream of a request that is in flight on a router. */
    private void endUpstreamDuring(String path) {
        ForwardingOutput.Send send = router.send(router.call(path));
        router.lost(send, true, "");
        router.remove("servers/" + send.dispatch().upstream());
        peer.remove("servers/" + send.dispatch().upstream());
        advanceTime();
    }

    private void advanceTime() {
        router.advanceTime(1_000);
        peer.advanceTime(1_000);
    }

    private void sendUpdates(ForwardingFixture from, ForwardingFixture to) {
        List<ForwardingOutput.SendToPeer> messages = from.all(ForwardingOutput.SendToPeer.class);
        from.outputs.removeAll(messages);
        messages.forEach(message ->
                to.tick(new ForwardingInput.PeerMessageReceived(from.self().id(), message.message())));
    }

    private static boolean isSent(ForwardingFixture fixture, String path) {
        return !fixture.sends(fixture.call(path)).isEmpty();
    }

    @Test
    void should_forget_the_crashes_of_a_request_that_completes() {
        for (int crash = 0; crash < 6; crash++) {
            endUpstreamDuring(POPULAR);
            RequestId completed = router.call(POPULAR);
            router.answered(router.send(completed), 200);
        }
        assertThat(isSent(router, POPULAR)).isTrue();
    }

    @Test
    void should_forget_the_crashes_of_a_request_that_completes_at_a_peer() {
        router.put("members/vm-2", new StoreItemContent.Member(peer.self()));
        peer.put("members/vm-1", new StoreItemContent.Member(router.self()));
        for (int crash = 0; crash < 6; crash++) {
            endUpstreamDuring(POPULAR);
            sendUpdates(router, peer);
            RequestId completed = peer.call(POPULAR);
            peer.answered(peer.send(completed), 200);
            advanceTime();
            sendUpdates(peer, router);
        }
        assertThat(isSent(router, POPULAR)).isTrue();
        assertThat(isSent(peer, POPULAR)).isTrue();
    }

    @Test
    void should_ignore_a_crash_that_a_peer_reports_again_after_the_request_completed() {
        PeerMessage.ForwardingNews crashes = PeerMessage.ForwardingNews.builder(peer.self(), 1)
                .crashes(List.of(
                        PeerMessage.SeenCrash.ofRequest(ForwardingFixture.fingerprint(POPULAR), new UpstreamId("u1@1")),
                        PeerMessage.SeenCrash.ofRequest(ForwardingFixture.fingerprint(POPULAR), new UpstreamId("u2@1")),
                        PeerMessage.SeenCrash.ofRequest(
                                ForwardingFixture.fingerprint(POPULAR), new UpstreamId("u3@1"))))
                .build();
        RequestId inFlight = router.call(POPULAR);
        router.tick(new ForwardingInput.PeerMessageReceived(peer.self().id(), crashes));
        assertThat(isSent(router, POPULAR)).isFalse();
        router.answered(router.send(inFlight), 200);
        router.tick(new ForwardingInput.PeerMessageReceived(peer.self().id(), crashes));
        assertThat(isSent(router, POPULAR)).isTrue();
    }

    @Test
    void should_not_attribute_the_end_of_an_upstream_that_answered_after_the_attempt_was_lost() {
        for (int crash = 0; crash < 6; crash++) {
            ForwardingOutput.Send lost = router.send(router.call("/issue/unlucky"));
            UpstreamId upstream = lost.dispatch().upstream();
            ForwardingOutput.Send later = sendTo(upstream);
            router.lost(lost, true, "");
            router.advanceTime(300);
            router.answered(later, 200);
            router.remove("servers/" + upstream);
            router.advanceTime(500);
        }
        assertThat(isSent(router, "/issue/unlucky")).isTrue();
    }

    /** Sends requests until one is in flight on an upstream. */
    private ForwardingOutput.Send sendTo(UpstreamId upstream) {
        for (int number = 0; number < 100; number++) {
            ForwardingOutput.Send send = router.send(router.call("/issue/other-" + upstreams + "-" + number));
            if (send.dispatch().upstream().equals(upstream)) {
                return send;
            }
        }
        throw new AssertionError("no request was sent to " + upstream);
    }
}
