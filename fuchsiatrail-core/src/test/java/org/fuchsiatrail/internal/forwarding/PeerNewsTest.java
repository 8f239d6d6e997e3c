package org.fuchsiatrail.internal.forwarding;

import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreFact;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerNewsTest {

    private static final EntryVm PEER =
            new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);

    private final ForwardingFixture fixture = new ForwardingFixture();

    private static PeerMessage.ForwardingNews news(long revision, boolean wants, long covers) {
        return new PeerMessage.ForwardingNews(
                PEER, revision, wants, covers, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
    }

    private List<PeerMessage.ForwardingNews> told() {
        return fixture.all(ForwardingOutput.TellPeer.class).stream()
                .map(ForwardingOutput.TellPeer::message)
                .toList();
    }

    @Test
    void should_ask_a_peer_that_stays_ahead_for_the_items_it_lacks() {
        fixture.configured().start();
        fixture.storeAnswers = false;
        fixture.tick(new ForwardingInput.PeerSpoke(PEER.id(), news(50, false, 0)));
        assertThat(told()).noneMatch(PeerMessage.ForwardingNews::wantsItems);
        fixture.pass(300);
        fixture.tick(new ForwardingInput.PeerSpoke(PEER.id(), news(50, false, 0)));
        assertThat(told()).anyMatch(PeerMessage.ForwardingNews::wantsItems);
    }

    @Test
    void should_answer_with_the_items_that_changed_after_the_peers_revision() {
        fixture.configured().list(fixture.records("one")).start();
        fixture.tick(new ForwardingInput.PeerSpoke(PEER.id(), news(2, true, 0)));
        PeerMessage.ForwardingNews answer = told().stream()
                .filter(each -> each.coversUpTo() > 0)
                .findFirst()
                .orElseThrow();
        assertThat(answer.items()).extracting(PeerMessage.RelayedItem::key).containsExactly("servers/one");
    }

    @Test
    void should_put_a_configuration_in_force_that_came_by_way_of_a_peer() {
        fixture.storeAnswers = false;
        fixture.start();
        fixture.relay("configuration", 5, new StoreFact.Routing(ForwardingFixture.table(3)));
        assertThat(fixture.core.ready()).isTrue();
    }

    @Test
    void should_ask_again_from_the_revision_that_an_answer_covered() {
        fixture.configured().start();
        fixture.storeAnswers = false;
        fixture.tick(new ForwardingInput.PeerSpoke(PEER.id(), news(50, false, 50)));
        fixture.pass(300);
        fixture.tick(new ForwardingInput.PeerSpoke(PEER.id(), news(50, false, 0)));
        assertThat(told()).noneMatch(PeerMessage.ForwardingNews::wantsItems);
    }
}
