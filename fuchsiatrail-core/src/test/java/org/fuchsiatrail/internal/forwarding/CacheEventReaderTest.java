package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CacheEventReaderTest {

    private static final String STORE_ADDRESS = "10.9.0.1:80";
    private static final UpstreamId STORE = new UpstreamId("kept");
    private static final long EPOCH = 77;

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void engines(int count) {
        RoutingTable plain = ForwardingFixture.table(1);
        List<ServiceDefinition> services = Stream.concat(
                        Stream.of("records", "tutors").flatMap(name -> plain.service(name).stream()),
                        Stream.of(new ServiceDefinition(
                                STORE.value(),
                                90,
                                Optional.empty(),
                                Optional.of(new ServiceDefinition.KvCacheStore(STORE_ADDRESS, "lima-b", 400_000)))))
                .toList();
        fixture.configured();
        fixture.put("configuration", new StoreItemContent.Routing(ForwardingFixture.table(2, services)));
        for (int each = 1; each <= count; each++) {
            fixture.list(fixture.tutor("engine-" + each, 1));
        }
        fixture.start();
        fixture.pass(60);
        for (int each = 1; each <= count; each++) {
            hold(engine(each), EPOCH, List.of());
        }
    }

    private void hold(UpstreamId holder, long epoch, List<CacheEventsReply.Change> held) {
        fixture.tick(new ForwardingInput.CacheEventsReceived(holder, new CacheEventsReply.Snapshot(epoch, 5, held)));
        fixture.pass(200);
    }

    private List<ForwardingOutput.ReadCacheEvents> questions(UpstreamId holder) {
        return fixture.all(ForwardingOutput.ReadCacheEvents.class).stream()
                .filter(question -> question.holder().equals(holder))
                .toList();
    }

    @Test
    void should_know_after_a_restart_what_engines_hold_before_the_first_request() {
        engines(6);
        hold(engine(3), EPOCH, essay());
        assertThat(mark("own").dispatch().upstream()).isEqualTo(engine(3));
    }

    private static UpstreamId engine(int number) {
        return new UpstreamId("engine-" + number);
    }

    private static CacheEventsReply.Change stored(String part, long tokens) {
        return new CacheEventsReply.Change("w1", ForwardingFixture.MODEL, part, tokens);
    }

    private static List<CacheEventsReply.Change> essay() {
        return List.of(stored("course", 2_500), stored("session", 3_800));
    }

    /** Has the parts of the essay known as shared. */
    private void share() {
        fixture.finish(mark("seen"));
    }

    private void tell(UpstreamId holder, long epoch, boolean gap, List<CacheEventsReply.Change> changes) {
        fixture.tick(
                new ForwardingInput.CacheEventsReceived(holder, new CacheEventsReply.Changes(epoch, 10, gap, changes)));
    }

    private ForwardingOutput.Send mark(String own) {
        return fixture.send(
                fixture.call("/mark/1", ForwardingFixture.KEY, ForwardingFixture.prompt("course", "session", own)));
    }

    @Test
    void should_place_a_session_where_the_engine_says_that_its_parts_are() {
        engines(6);
        share();
        tell(engine(4), EPOCH, false, essay());
        assertThat(mark("own").dispatch().upstream()).isEqualTo(engine(4));
    }

    @Test
    void should_not_tell_changes_of_parts_that_nobody_shares() {
        engines(2);
        fixture.outputs.clear();
        tell(engine(1), EPOCH, false, List.of(stored("own of somebody", 2_900)));
        fixture.pass(400);
        assertThat(fixture.all(ForwardingOutput.SendToPeer.class))
                .allMatch(tell -> tell.message().caches().stream().allMatch(changes -> changes.keys().length == 0));
    }

    @Test
    void should_take_each_word_of_a_reader_once_however_often_it_comes() {
        engines(6);
        EntryVm near = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-a"), "10.0.0.2:7000", false);
        long[] keys = Stream.of("course", "session")
                .mapToLong(part -> PromptChain.key("w1", ForwardingFixture.MODEL, part))
                .toArray();
        PeerMessage.CacheChanges stored =
                new PeerMessage.CacheChanges(engine(5), false, keys, new long[] {2_500, 3_800}, "vm-2/1", 1);
        PeerMessage.CacheChanges dropped =
                new PeerMessage.CacheChanges(engine(5), false, keys, new long[] {0, 0}, "vm-2/1", 2);
        fixture.tick(new ForwardingInput.PeerMessageReceived(
                near.id(),
                PeerMessage.ForwardingNews.builder(near, 0)
                        .caches(List.of(stored, dropped, stored))
                        .build()));
        hold(engine(2), EPOCH, essay());
        assertThat(mark("own").dispatch().upstream()).isEqualTo(engine(2));
    }

    @Test
    void should_go_on_reading_where_the_last_answer_ended() {
        engines(1);
        tell(engine(1), EPOCH, false, essay());
        fixture.pass(300);
        assertThat(questions(engine(1)))
                .extracting(ForwardingOutput.ReadCacheEvents::cursor)
                .containsExactly(5L, 10L);
    }

    @Test
    void should_fetch_parts_that_an_engine_has_dropped_from_one_that_holds_them() {
        engines(2);
        ForwardingOutput.Send first = mark("one");
        fixture.finish(first);
        UpstreamId home = first.dispatch().upstream();
        UpstreamId other = home.equals(engine(1)) ? engine(2) : engine(1);
        tell(other, EPOCH, false, essay());
        tell(home, EPOCH, false, List.of(stored("session", 0), stored("course", 0)));
        ForwardingOutput.Send second = mark("two");
        assertThat(second.dispatch().upstream().equals(other)
                        || second.dispatch().fetchFrom().isPresent())
                .isTrue();
    }

    @Test
    void should_forget_a_cache_that_started_anew_and_ask_for_all_it_holds() {
        engines(2);
        tell(engine(1), EPOCH, false, essay());
        fixture.pass(200);
        tell(engine(1), EPOCH + 1, false, List.of());
        fixture.pass(50);
        assertThat(fixture.all(ForwardingOutput.ReadCacheSnapshot.class))
                .filteredOn(question -> question.holder().equals(engine(1)))
                .hasSize(2);
        assertThat(mark("own").dispatch().fetchFrom()).isEmpty();
    }

    @Test
    void should_forget_what_it_knew_behind_a_gap() {
        engines(2);
        tell(engine(1), EPOCH, false, essay());
        fixture.pass(200);
        tell(engine(1), EPOCH, true, List.of());
        assertThat(mark("own").dispatch().fetchFrom()).isEmpty();
    }

    @Test
    void should_fetch_from_the_store_what_no_engine_holds_and_save_what_the_store_lacks() {
        engines(2);
        hold(STORE, EPOCH, List.of());
        assertThat(mark("one").dispatch().saveTo()).contains(STORE_ADDRESS);
        hold(STORE, EPOCH, essay());
        ForwardingOutput.Send known = fixture.send(
                fixture.call("/mark/1", ForwardingFixture.KEY, ForwardingFixture.prompt("course", "session", "two")));
        assertThat(known.dispatch().fetchFrom()).contains(STORE_ADDRESS);
        assertThat(known.dispatch().saveTo()).isEmpty();
    }

    @Test
    void should_neither_fetch_from_nor_save_to_a_store_that_is_not_heard() {
        engines(2);
        hold(STORE, EPOCH, essay());
        fixture.tick(new ForwardingInput.CacheEventsReceived(STORE, new CacheEventsReply.Failed("no answer")));
        ForwardingOutput.Send send = mark("own");
        assertThat(send.dispatch().fetchFrom()).isEmpty();
    }

    @Test
    void should_read_each_cache_from_one_router_of_a_domain_and_tell_the_others() {
        engines(6);
        EntryVm near = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-a"), "10.0.0.2:7000", false);
        fixture.put("members/vm-2", new StoreItemContent.Member(near));
        fixture.tick(new ForwardingInput.PeerMessageReceived(
                near.id(), PeerMessage.ForwardingNews.builder(near, 0).build()));
        fixture.pass(2_100);
        fixture.tick(new ForwardingInput.PeerMessageReceived(
                near.id(), PeerMessage.ForwardingNews.builder(near, 0).build()));
        fixture.outputs.clear();
        for (int each = 1; each <= 6; each++) {
            tell(engine(each), EPOCH, false, essay());
        }
        fixture.pass(400);
        long reads = fixture.all(ForwardingOutput.ReadCacheEvents.class).stream()
                .map(ForwardingOutput.ReadCacheEvents::holder)
                .distinct()
                .count();
        assertThat(reads).isBetween(1L, 6L);
        assertThat(fixture.all(ForwardingOutput.SendToPeer.class))
                .anyMatch(tell -> !tell.message().caches().isEmpty());
    }

    @Test
    void should_take_the_word_of_a_peer_on_a_cache_that_it_reads() {
        engines(6);
        EntryVm near = new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-a"), "10.0.0.2:7000", false);
        long[] keys = Stream.of("course", "session")
                .mapToLong(part -> PromptChain.key("w1", ForwardingFixture.MODEL, part))
                .toArray();
        fixture.tick(new ForwardingInput.PeerMessageReceived(
                near.id(),
                PeerMessage.ForwardingNews.builder(near, 0)
                        .caches(List.of(new PeerMessage.CacheChanges(
                                engine(5), false, keys, new long[] {2_500, 3_800}, "vm-2/1", 1)))
                        .build()));
        assertThat(mark("own").dispatch().upstream()).isEqualTo(engine(5));
    }
}
