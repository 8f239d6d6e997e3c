package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.VersionShares;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an item that becomes unreadable and thereby revokes what it held, or fills the log. */
class StoreReplicaTest {

    private static final EntryVm SELF =
            new EntryVm(new EntryVmId("vm-1"), new FailureDomain("lima-a"), "10.0.0.1:7000", false);
    private static final VersionShares SHARES =
            new VersionShares("tutors", 3, List.of(new VersionShares.Share("v1", 1)));

    private final ForwardingContext context = new ForwardingContext(
            ForwardingSettings.builder().self(SELF).seed(1).build());
    private final StoreReplica replica = new StoreReplica(context);

    private void apply(String key, long revision, StoreItemContent content) {
        context.beginTick(1_000);
        replica.apply(new StoreItem(key, revision, new byte[] {1}, content));
    }

    private void applyUnreadable(String key, long revision) {
        apply(key, revision, new StoreItemContent.Unreadable("why"));
    }

    private List<String> logged() {
        return context.endTick().stream()
                .filter(ForwardingOutput.LogEvent.class::isInstance)
                .map(output -> ((ForwardingOutput.LogEvent) output).message())
                .toList();
    }

    private int countedUnreadableItems() {
        return (int) context.endTick().stream()
                .filter(output -> output.equals(new ForwardingOutput.Count("store.unreadable-items")))
                .count();
    }

    @Test
    void should_keep_the_configuration_while_its_item_is_unreadable() {
        apply("configuration", 5, new StoreItemContent.Routing(ForwardingFixture.table(7)));
        applyUnreadable("configuration", 6);
        assertThat(replica.routing().orElseThrow().version()).isEqualTo(7);
        apply("configuration", 7, new StoreItemContent.Routing(ForwardingFixture.table(8)));
        assertThat(replica.routing().orElseThrow().version()).isEqualTo(8);
    }

    @Test
    void should_keep_target_weights_while_their_item_is_unreadable() {
        apply("weights", 5, new StoreItemContent.TargetWeights("m", 4));
        applyUnreadable("weights", 6);
        assertThat(replica.targetWeights("m")).contains(new StoreItemContent.TargetWeights("m", 4));
        apply("weights", 7, new StoreItemContent.Removed());
        assertThat(replica.targetWeights("m")).isEmpty();
    }

    @Test
    void should_keep_a_quarantine_while_its_item_is_unreadable_and_end_it_with_the_item() {
        apply("quarantine", 5, new StoreItemContent.Quarantine(77, List.of(new UpstreamId("i-1@1"))));
        applyUnreadable("quarantine", 6);
        assertThat(replica.quarantineMillisLeft(77)).isPositive();
        apply("quarantine", 7, new StoreItemContent.Removed());
        assertThat(replica.quarantineMillisLeft(77)).isZero();
    }

    /** The next shares are written on the condition that the item has the revision that the replica knows. */
    @Test
    void should_keep_version_shares_while_their_item_is_unreadable_and_know_its_revision() {
        apply("shares", 5, new StoreItemContent.CurrentVersionShares(SHARES));
        applyUnreadable("shares", 6);
        assertThat(replica.versionShares().current("tutors")).contains(new VersionShareRegistry.Current(SHARES, 6));
    }

    @Test
    void should_take_the_order_lease_for_held_while_its_item_is_unreadable() {
        apply("holder", 5, new StoreItemContent.OrderLeaseHolder("vm-2"));
        applyUnreadable("holder", 6);
        assertThat(replica.orderLeaseHolder()).isPresent();
    }

    @Test
    void should_not_count_a_router_whose_item_is_unreadable() {
        apply("member", 5, new StoreItemContent.Member(SELF));
        applyUnreadable("member", 6);
        assertThat(replica.memberCount()).isZero();
        assertThat(replica.members()).isEmpty();
        apply("member", 7, new StoreItemContent.Member(SELF));
        assertThat(replica.memberCount()).isEqualTo(1);
    }

    @Test
    void should_relay_an_unreadable_item_with_its_own_revision_and_value() {
        apply("configuration", 5, new StoreItemContent.Routing(ForwardingFixture.table(7)));
        replica.apply(new StoreItem("configuration", 6, new byte[] {9}, new StoreItemContent.Unreadable("why")));
        assertThat(replica.changedAfter(5)).singleElement().satisfies(item -> {
            assertThat(item.revision()).isEqualTo(6);
            assertThat(item.value()).containsExactly(9);
        });
    }

    @Test
    void should_log_an_unreadable_item_once_however_often_it_is_read_or_written() {
        for (StoreItemContent former : List.of(
                new StoreItemContent.Removed(),
                new StoreItemContent.Routing(ForwardingFixture.table(7)),
                new StoreItemContent.Upstream(ForwardingFixture.entry("e", "tutors", 8, Map.of(), false, 1)))) {
            String key = former.getClass().getSimpleName();
            apply(key, 1, former);
            context.beginTick(1_000);
            for (int revision = 2; revision < 100; revision++) {
                for (int read = 0; read < 3; read++) {
                    replica.apply(new StoreItem(key, revision, new byte[0], new StoreItemContent.Unreadable("why")));
                }
            }
            assertThat(logged()).as(key).containsExactly("Unreadable store item ignored.");
        }
    }

    @Test
    void should_log_an_item_again_that_was_readable_meanwhile() {
        for (int revision = 1; revision < 8; revision += 2) {
            applyUnreadable("weights", revision);
            assertThat(logged()).containsExactly("Unreadable store item ignored.");
            apply("weights", revision + 1, new StoreItemContent.TargetWeights("m", revision));
        }
    }

    @Test
    void should_count_each_unreadable_item() {
        context.beginTick(1_000);
        for (int revision = 1; revision <= 4; revision++) {
            replica.apply(new StoreItem("a", revision, new byte[0], new StoreItemContent.Unreadable("why")));
        }
        assertThat(countedUnreadableItems()).isEqualTo(4);
    }
}
