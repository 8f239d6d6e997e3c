package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;
import org.fuchsiatrail.forwarding.UpstreamEntry;
import org.fuchsiatrail.forwarding.VersionShares;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a router that goes on with what the store has forgotten, or believes what it said before. */
class StoreReturnedFromOlderCopyTest {

    private static final long ERA = 4;
    private static final String CONFIGURATION = "configuration";
    private static final String HOLDER = "orders/holder";
    private static final EntryVm PEER =
            new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-a"), "10.0.0.2:7000", false);

    private final ForwardingFixture router = new ForwardingFixture();
    private final ForwardingContext context = new ForwardingContext(
            ForwardingSettings.builder().self(PEER).seed(1).build());

    @BeforeEach
    void start() {
        router.storeAnswers = false;
        router.tick();
        answer(StoreCall.ReadAll.class, page(900, routing(50, 7), item("upstreams/one", 60, upstream(1))), ERA);
    }

    private static StoreItem item(String key, long revision, StoreItemContent content) {
        return new StoreItem(key, revision, new byte[] {1}, content);
    }

    private static StoreItem routing(long revision, long version) {
        return item(CONFIGURATION, revision, new StoreItemContent.Routing(ForwardingFixture.table(version)));
    }

    private static StoreItemContent upstream(long startedAtMillis) {
        return new StoreItemContent.Upstream(entry(startedAtMillis));
    }

    private static UpstreamEntry entry(long startedAtMillis) {
        return ForwardingFixture.entry("one", "records", 6, Map.of(), false, startedAtMillis);
    }

    private static StoreReply page(long revision, StoreItem... items) {
        return new StoreReply.Page(List.of(items), false, revision);
    }

    /** Answers the last call of a kind; calls of other kinds stay unanswered. */
    private void answer(Class<? extends StoreCall> kind, StoreReply reply, long era) {
        router.tick(new ForwardingInput.StoreAnswered(lastCall(kind).call(), reply, era));
    }

    private ForwardingOutput.CallStore lastCall(Class<? extends StoreCall> kind) {
        return router.all(ForwardingOutput.CallStore.class).stream()
                .filter(call -> kind.isInstance(call.request()))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private long calls(Class<? extends StoreCall> kind) {
        return router.all(ForwardingOutput.CallStore.class).stream()
                .filter(call -> kind.isInstance(call.request()))
                .count();
    }

    private long versionInForce() {
        return router.core.routing().orElseThrow().version();
    }

    private void beginEra(StoreItem... items) {
        answer(StoreCall.GrantLease.class, new StoreReply.LeaseGranted(9, 20_000), ERA + 1);
        router.advanceTime(50);
        answer(StoreCall.ReadAll.class, page(12, items), ERA + 1);
    }

    @Test
    void should_read_all_items_again_and_watch_from_the_revision_of_the_new_era() {
        beginEra(routing(5, 7));
        router.advanceTime(50);
        StoreCall.Watch watch =
                (StoreCall.Watch) lastCall(StoreCall.Watch.class).request();
        assertThat(watch.afterRevision()).isEqualTo(12);
        answer(StoreCall.Watch.class, new StoreReply.Changes(List.of(routing(13, 9)), 13), ERA + 1);
        assertThat(versionInForce()).isEqualTo(9);
    }

    @Test
    void should_keep_a_newer_configuration_until_the_operator_writes_that_one_or_a_newer_one_again() {
        beginEra(routing(5, 6));
        assertThat(versionInForce()).isEqualTo(7);
        router.advanceTime(50);
        answer(StoreCall.Watch.class, new StoreReply.Changes(List.of(routing(13, 7)), 13), ERA + 1);
        assertThat(versionInForce()).isEqualTo(7);
        router.advanceTime(50);
        answer(StoreCall.Watch.class, new StoreReply.Changes(List.of(routing(14, 8)), 14), ERA + 1);
        assertThat(versionInForce()).isEqualTo(8);
    }

    @Test
    void should_keep_a_configuration_that_the_store_has_lost() {
        beginEra();
        assertThat(versionInForce()).isEqualTo(7);
        router.advanceTime(5_000);
        assertThat(versionInForce()).isEqualTo(7);
    }

    @Test
    void should_not_believe_replies_of_the_former_era_that_arrive_late() {
        router.advanceTime(50);
        ForwardingOutput.CallStore watch = lastCall(StoreCall.Watch.class);
        beginEra(routing(5, 8));
        StoreReply late = new StoreReply.Changes(List.of(routing(901, 99)), 901);
        router.tick(new ForwardingInput.StoreAnswered(watch.call(), late, ERA));
        assertThat(versionInForce()).isEqualTo(8);
    }

    @Test
    void should_not_believe_a_watch_of_the_former_era_that_is_answered_in_the_new_one() {
        router.advanceTime(50);
        answer(StoreCall.Watch.class, new StoreReply.Changes(List.of(), 950), ERA + 1);
        router.advanceTime(50);
        answer(StoreCall.ReadAll.class, page(12, routing(5, 8)), ERA + 1);
        assertThat(versionInForce()).isEqualTo(8);
    }

    @Test
    void should_notice_by_the_revision_that_a_store_which_names_no_era_has_lost_changes() {
        ForwardingFixture unaware = new ForwardingFixture().configured().start();
        unaware.storeAnswers = false;
        unaware.tick(new ForwardingInput.StoreAnswered(
                lastCallNumber(unaware, StoreCall.Watch.class), new StoreReply.HistoryCompacted()));
        unaware.advanceTime(50);
        unaware.tick(new ForwardingInput.StoreAnswered(
                lastCallNumber(unaware, StoreCall.ReadAll.class), page(1, routing(1, 9))));
        unaware.advanceTime(50);
        unaware.tick(new ForwardingInput.StoreAnswered(
                lastCallNumber(unaware, StoreCall.ReadAll.class), page(1, routing(1, 9))));
        assertThat(unaware.core.routing().orElseThrow().version()).isEqualTo(9);
    }

    private static long lastCallNumber(ForwardingFixture router, Class<? extends StoreCall> kind) {
        return router.all(ForwardingOutput.CallStore.class).stream()
                .filter(call -> kind.isInstance(call.request()))
                .mapToLong(ForwardingOutput.CallStore::call)
                .max()
                .orElseThrow();
    }

    @Test
    void should_register_again_with_a_new_lease_since_the_number_of_the_former_may_be_given_out_again() {
        answer(StoreCall.GrantLease.class, new StoreReply.LeaseGranted(9, 20_000), ERA);
        answer(StoreCall.AnnounceMember.class, new StoreReply.Written(901), ERA);
        router.advanceTime(1_500);
        long grants = calls(StoreCall.GrantLease.class);
        answer(StoreCall.KeepLease.class, new StoreReply.LeaseRenewed(), ERA + 1);
        router.advanceTime(1_200);
        assertThat(calls(StoreCall.GrantLease.class)).isGreaterThan(grants);
        assertThat(calls(StoreCall.KeepLease.class)).isEqualTo(1);
    }

    @Test
    void should_learn_of_the_new_era_from_a_peer_and_apply_the_items_that_it_relays() {
        relayFromPeer(ERA + 1, routing(13, 9));
        assertThat(versionInForce()).isEqualTo(9);
        relayFromPeer(ERA, routing(950, 99));
        assertThat(versionInForce()).isEqualTo(9);
    }

    private void relayFromPeer(long era, StoreItem item) {
        router.tick(
                new ForwardingInput.StoreItemRelayed(item, era),
                new ForwardingInput.PeerMessageReceived(
                        PEER.id(),
                        PeerMessage.ForwardingNews.builder(PEER, item.revision())
                                .storeEra(era)
                                .items(List.of(), item.revision())
                                .build()));
    }

    @Test
    void should_keep_serving_at_an_upstream_whose_entry_is_lost_until_it_should_be_back() {
        beginEra(routing(5, 7));
        RequestId early = router.call("/read/1");
        assertThat(router.sends(early)).hasSize(1);
        router.answered(router.send(early), 200);
        router.advanceTime(2_300);
        RequestId late = router.call("/read/2");
        router.advanceTime(100);
        assertThat(router.sends(late)).isEmpty();
        assertThat(router.refusal(late)).isPresent();
    }

    @Test
    void should_not_take_the_older_entry_of_a_restarted_upstream_for_its_present_one() {
        beginEra(routing(5, 7), item("upstreams/one", 6, upstream(0)));
        RequestId request = router.call("/read/1");
        assertThat(router.send(request).dispatch().upstream()).isEqualTo(entry(1).id());
    }

    @Test
    void should_keep_members_that_the_store_has_lost_until_they_should_be_back() {
        StoreReplica replica = replica();
        replica.apply(item("members/vm-2", 70, new StoreItemContent.Member(PEER)));
        replica.beginEra();
        replica.replaceAll(List.of(), 12);
        assertThat(replica.memberCount()).isEqualTo(1);
        replica.run();
        assertThat(replica.memberCount()).isEqualTo(1);
        context.beginTick(4_000);
        replica.run();
        assertThat(replica.memberCount()).isZero();
    }

    private StoreReplica replica() {
        context.beginTick(1_000);
        return new StoreReplica(context);
    }

    @Test
    void should_forget_the_holder_of_the_order_lease_at_once() {
        StoreReplica replica = replica();
        replica.apply(item(HOLDER, 70, new StoreItemContent.OrderLeaseHolder("vm-2")));
        replica.beginEra();
        replica.replaceAll(List.of(), 12);
        assertThat(replica.orderLeaseHolder()).isEmpty();
    }

    @Test
    void should_keep_version_shares_that_the_store_has_lost_and_write_them_under_a_condition_that_holds() {
        VersionShares shares = new VersionShares("tutors", 3, List.of(new VersionShares.Share("v1", 1)));
        StoreReplica replica = replica();
        replica.apply(item("shares", 70, new StoreItemContent.CurrentVersionShares(shares)));
        replica.beginEra();
        replica.replaceAll(List.of(), 12);
        assertThat(replica.versionShares().current("tutors")).contains(new VersionShareRegistry.Current(shares, 0));
        VersionShares older = new VersionShares("tutors", 2, List.of(new VersionShares.Share("v2", 1)));
        replica.apply(item("shares", 13, new StoreItemContent.CurrentVersionShares(older)));
        assertThat(replica.versionShares().current("tutors")).contains(new VersionShareRegistry.Current(shares, 13));
        assertThat(replica.hasLostShares("tutors")).isTrue();
        VersionShares newer = new VersionShares("tutors", 4, shares.shares());
        replica.apply(item("shares", 14, new StoreItemContent.CurrentVersionShares(newer)));
        assertThat(replica.hasLostShares("tutors")).isFalse();
    }

    @Test
    void should_not_believe_an_absurd_era_of_a_peer() {
        relayFromPeer(1L << 50, routing(950, 99));
        assertThat(versionInForce()).isEqualTo(7);
        beginEra(routing(5, 8));
        assertThat(versionInForce()).isEqualTo(8);
    }

    @Test
    void should_give_tokens_for_fencing_that_rise_over_eras() {
        context.beginTick(1_000);
        StoreEra era = new StoreEra(context);
        era.observe(1);
        assertThat(era.fencingToken(500)).isEqualTo(500);
        era.observe(2);
        assertThat(era.fencingToken(3)).isGreaterThan(500);
    }
}
