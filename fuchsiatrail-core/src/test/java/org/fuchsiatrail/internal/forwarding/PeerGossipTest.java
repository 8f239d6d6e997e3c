package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.stream.IntStream;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.internal.membership.Rendezvous;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerGossipTest {

    private static final EntryVm PEER =
            new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);

    private ForwardingFixture fixture = new ForwardingFixture();
    private EntryVm near;
    private final EntryVm far = member("vm-4", "lima-b");

    private static PeerMessage.ForwardingNews news(long revision, boolean wants, long covers) {
        var news = PeerMessage.ForwardingNews.builder(PEER, revision).items(List.of(), covers);
        return (wants ? news.wantsItems() : news).build();
    }

    private List<PeerMessage.ForwardingNews> told() {
        return fixture.all(ForwardingOutput.SendToPeer.class).stream()
                .map(ForwardingOutput.SendToPeer::message)
                .toList();
    }

    @Test
    void should_ask_a_peer_that_stays_ahead_for_the_items_it_lacks() {
        fixture.configured().start();
        fixture.storeAnswers = false;
        fixture.tick(new ForwardingInput.PeerMessageReceived(PEER.id(), news(50, false, 0)));
        assertThat(told()).noneMatch(PeerMessage.ForwardingNews::wantsItems);
        fixture.pass(300);
        fixture.tick(new ForwardingInput.PeerMessageReceived(PEER.id(), news(50, false, 0)));
        assertThat(told()).anyMatch(PeerMessage.ForwardingNews::wantsItems);
    }

    @Test
    void should_answer_with_the_items_that_changed_after_the_peers_revision() {
        fixture.configured().list(fixture.records("one")).start();
        fixture.tick(new ForwardingInput.PeerMessageReceived(PEER.id(), news(2, true, 0)));
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
        fixture.relay("configuration", 5, new StoreItemContent.Routing(ForwardingFixture.table(3)));
        assertThat(fixture.core.ready()).isTrue();
    }

    @Test
    void should_ask_again_from_the_revision_that_an_answer_covered() {
        fixture.configured().start();
        fixture.storeAnswers = false;
        fixture.tick(new ForwardingInput.PeerMessageReceived(PEER.id(), news(50, false, 50)));
        fixture.pass(300);
        fixture.tick(new ForwardingInput.PeerMessageReceived(PEER.id(), news(50, false, 0)));
        assertThat(told()).noneMatch(PeerMessage.ForwardingNews::wantsItems);
    }

    private static EntryVm member(String name, String domain) {
        return new EntryVm(new EntryVmId(name), new FailureDomain(domain), "10.0.1.1:7000", false);
    }

    /** A fleet of 21 routers in three failure domains, in which the fixture's is the relay of its own. */
    private void largeFleet() {
        List<EntryVm> fleet = IntStream.rangeClosed(1, 21)
                .mapToObj(index -> member("vm-" + index, "lima-" + "abc".charAt(index % 3)))
                .toList();
        List<EntryVm> domain = Rendezvous.ranked(
                "lima-a",
                fleet.stream()
                        .filter(vm -> vm.failureDomain().value().equals("lima-a"))
                        .toList(),
                vm -> vm.id().value());
        fixture = new ForwardingFixture(domain.getFirst().id().value());
        near = domain.getLast();
        fixture.configured().list(fixture.tutor("engine-1", 1));
        fleet.forEach(vm -> fixture.put("members/" + vm.id(), new StoreItemContent.Member(vm)));
        fixture.start();
    }

    private static PeerMessage.UpstreamWork work(int running) {
        return new PeerMessage.UpstreamWork(new UpstreamId("engine-1"), running, 0, 1_000L * running, 0, 0);
    }

    private void hear(EntryVm from, ForwardingNewsBuilder news) {
        fixture.tick(new ForwardingInput.PeerMessageReceived(from.id(), news.build()));
    }

    private static ForwardingNewsBuilder from(EntryVm vm) {
        return PeerMessage.ForwardingNews.builder(vm, 0);
    }

    @Test
    void should_tell_few_routers_in_a_large_fleet() {
        largeFleet();
        fixture.outputs.clear();
        fixture.pass(290);
        assertThat(fixture.all(ForwardingOutput.SendToPeer.class)).hasSizeLessThanOrEqualTo(3);
    }

    @Test
    void should_sum_the_work_of_its_followers_for_other_domains_and_for_them() {
        largeFleet();
        hear(far, from(far).domains(List.of(new PeerMessage.DomainWork(far.failureDomain(), List.of(work(5))))));
        hear(near, from(near).work(List.of(work(3))));
        fixture.outputs.clear();
        fixture.pass(310);
        PeerMessage.ForwardingNews toFollower = toldTo(near);
        assertThat(toFollower.domains())
                .contains(
                        new PeerMessage.DomainWork(near.failureDomain(), List.of(work(3))),
                        new PeerMessage.DomainWork(far.failureDomain(), List.of(work(5))));
        assertThat(toldTo(far).domains())
                .containsExactly(new PeerMessage.DomainWork(near.failureDomain(), List.of(work(3))));
    }

    @Test
    void should_pass_on_what_a_follower_has_seen_and_only_once() {
        largeFleet();
        hear(far, from(far));
        hear(near, from(near));
        fixture.pass(310);
        PeerMessage.ReadParts read =
                new PeerMessage.ReadParts(new UpstreamId("engine-1"), new long[] {7}, new long[] {400});
        fixture.outputs.clear();
        hear(near, from(near).reads(List.of(read)));
        hear(far, from(far).reads(List.of(read)));
        fixture.pass(900);
        long passedOn = fixture.all(ForwardingOutput.SendToPeer.class).stream()
                .filter(tell ->
                        tell.to().equals(far.id()) && !tell.message().reads().isEmpty())
                .count();
        assertThat(passedOn).isEqualTo(1);
    }

    @Test
    void should_let_an_engine_serve_again_though_routers_echo_that_it_switched() {
        largeFleet();
        fixture.pass(310);
        hear(near, from(near).switching(List.of(new PeerMessage.Switching(new UpstreamId("engine-1"), 1_500))));
        for (int heartbeat = 0; heartbeat < 12; heartbeat++) {
            fixture.outputs.clear();
            fixture.pass(310);
            for (PeerMessage.ForwardingNews told : told()) {
                hear(near, from(near).switching(told.switching()));
                hear(far, from(far).switching(told.switching()));
            }
        }
        RequestId request =
                fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("course", "session", "own"));
        assertThat(fixture.sends(request)).hasSize(1);
    }

    private PeerMessage.ForwardingNews toldTo(EntryVm peer) {
        return fixture.all(ForwardingOutput.SendToPeer.class).stream()
                .filter(tell -> tell.to().equals(peer.id()))
                .map(ForwardingOutput.SendToPeer::message)
                .reduce((first, second) -> second)
                .orElseThrow();
    }
}
