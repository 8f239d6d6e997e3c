package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GossipTopologyTest {

    private static final long HEARTBEAT_MILLIS = 300;

    private final Map<EntryVmId, GossipTopology> circles = new HashMap<>();
    private final List<EntryVm> members = new ArrayList<>();
    private final Map<EntryVmId, Integer> received = new HashMap<>();
    private long now = 1_000_000;

    private void fleet(int size, int domains) {
        for (int index = 0; index < size; index++) {
            EntryVm vm = new EntryVm(
                    new EntryVmId("vm-" + index),
                    new FailureDomain("domain-" + index % domains),
                    "10.0.0." + index + ":7000",
                    false);
            members.add(vm);
            circles.put(vm.id(), new GossipTopology(vm));
        }
    }

    private static List<EntryVm> told(GossipTopology.Audience audience) {
        List<EntryVm> all = new ArrayList<>(audience.peers());
        all.addAll(audience.followers());
        all.addAll(audience.distantRelays());
        return all;
    }

    /** Has every living router tell its news for some time; returns the number of messages. */
    private int exchange(long millis, Set<String> silent) {
        int messages = 0;
        for (long end = now + millis; now < end; now += HEARTBEAT_MILLIS) {
            for (EntryVm vm : members) {
                if (silent.contains(vm.id().value())) {
                    continue;
                }
                for (EntryVm peer : told(circles.get(vm.id()).audience(members, now))) {
                    messages++;
                    if (!silent.contains(peer.id().value())) {
                        received.merge(peer.id(), 1, Integer::sum);
                        circles.get(peer.id()).heard(vm.id(), now);
                    }
                }
            }
        }
        return messages;
    }

    private List<EntryVm> relays(Set<String> silent) {
        return members.stream()
                .filter(vm -> !silent.contains(vm.id().value()))
                .filter(vm ->
                        circles.get(vm.id()).audience(members, now).peers().isEmpty())
                .toList();
    }

    /** The routers that one router's news reaches, by way of relays. */
    private Set<EntryVmId> reached(EntryVm from) {
        Set<EntryVmId> reached = told(circles.get(from.id()).audience(members, now)).stream()
                .map(EntryVm::id)
                .collect(Collectors.toSet());
        for (int hop = 0; hop < 2; hop++) {
            for (EntryVmId each : Set.copyOf(reached)) {
                GossipTopology.Audience next = circles.get(each).audience(members, now);
                if (next.relays()) {
                    told(next).forEach(vm -> reached.add(vm.id()));
                }
            }
        }
        return reached;
    }

    @Test
    void should_tell_every_router_of_a_small_fleet_directly() {
        fleet(7, 3);
        exchange(600, Set.of());
        assertThat(members)
                .allSatisfy(vm -> assertThat(
                                circles.get(vm.id()).audience(members, now).peers())
                        .hasSize(6));
    }

    @Test
    void should_have_one_relay_a_domain_in_a_large_fleet_and_reach_everyone() {
        fleet(70, 4);
        exchange(6_000, Set.of());
        assertThat(relays(Set.of())).hasSize(4);
        assertThat(members).allSatisfy(vm -> assertThat(reached(vm)).hasSizeGreaterThanOrEqualTo(69));
    }

    @Test
    void should_exchange_few_messages_for_each_router_whatever_the_size_of_the_fleet() {
        fleet(300, 3);
        exchange(3_000, Set.of());
        int messages = exchange(3_000, Set.of());
        assertThat(messages / (3_000 / HEARTBEAT_MILLIS) / members.size()).isLessThanOrEqualTo(3);
    }

    @Test
    void should_replace_relays_that_fall_silent() {
        fleet(30, 3);
        exchange(3_000, Set.of());
        Set<String> silent =
                relays(Set.of()).stream().map(vm -> vm.id().value()).collect(Collectors.toSet());
        exchange(4_500, silent);
        List<EntryVm> successors = relays(silent);
        assertThat(successors).hasSize(3);
        EntryVm living = members.stream()
                .filter(vm -> !silent.contains(vm.id().value()))
                .findFirst()
                .orElseThrow();
        assertThat(reached(living).stream().filter(id -> !silent.contains(id.value())))
                .hasSizeGreaterThanOrEqualTo(26);
    }

    @Test
    void should_keep_a_cut_off_domain_together() {
        fleet(30, 3);
        exchange(3_000, Set.of());
        Set<String> elsewhere = members.stream()
                .filter(vm -> !vm.failureDomain().value().equals("domain-1"))
                .map(vm -> vm.id().value())
                .collect(Collectors.toSet());
        exchange(6_000, elsewhere);
        received.clear();
        exchange(HEARTBEAT_MILLIS * 4, elsewhere);
        assertThat(members.stream().filter(vm -> !elsewhere.contains(vm.id().value())))
                .allSatisfy(vm -> assertThat(received.getOrDefault(vm.id(), 0)).isPositive());
    }
}
