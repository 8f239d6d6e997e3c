package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Selects the routers that a router sends its peer updates to.
 *
 * <p>Load pattern: in a full mesh each router handles as many messages as there are routers, and in a fleet of many
 * small VMs this takes much of their processor time. Above a few routers each one therefore sends its updates only to a
 * relay of its failure domain. The relay sends them to its followers and to one relay of each other domain. A relay
 * that becomes unresponsive is replaced; while routers disagree on the relay, updates still reach everyone through
 * both.
 */
final class GossipTopology {

    /** The most routers that form a full mesh; each of them then handles about 50 messages a second. */
    static final int MAXIMUM_FULL_MESH_SIZE = 12;

    /** Time without a message from a relay before another is selected, in milliseconds; three heartbeats. */
    static final long RELAY_TIMEOUT_MILLIS = 1_000;

    /** How long an unresponsive relay is not selected again, in milliseconds; a restart takes about two seconds. */
    private static final long RELAY_BACKOFF_MILLIS = 4_000;

    /** How long a router counts as a follower after its last message, in milliseconds; five heartbeats. */
    private static final long FOLLOWER_TIMEOUT_MILLIS = 1_600;

    /** The routers of each failure domain that keep the origins of streams: its relay and the next one. */
    private static final int STREAM_HOLDERS = 2;

    private final EntryVm self;
    private final Map<EntryVmId, Long> lastContactAtMillis = new HashMap<>();
    private final Map<EntryVmId, Long> backoffUntilMillis = new HashMap<>();
    private final Map<FailureDomain, SelectedRelay> selectedRelays = new HashMap<>();

    private record SelectedRelay(EntryVmId relay, long selectedAtMillis) {}

    /**
     * The routers that receive updates.
     *
     * @param peers routers that receive only this router's own observations
     * @param followers routers of the own failure domain that receive all updates known to this router
     * @param remoteRelays routers of other failure domains that receive the updates of the own domain
     */
    record Recipients(List<EntryVm> peers, List<EntryVm> followers, List<EntryVm> remoteRelays) {

        /** Returns whether this router passes on updates of others. */
        boolean isRelay() {
            return !followers.isEmpty() || !remoteRelays.isEmpty();
        }
    }

    GossipTopology(EntryVm self) {
        this.self = self;
    }

    /** Records the receipt of a message from a router. */
    void recordContact(EntryVmId peer, long nowMillis) {
        lastContactAtMillis.put(peer, nowMillis);
    }

    /** Returns whether a message from a router arrived within the follower timeout. */
    boolean hasRecentContact(EntryVmId peer, long nowMillis) {
        return nowMillis - lastContactAtMillis.getOrDefault(peer, Long.MIN_VALUE / 2) < FOLLOWER_TIMEOUT_MILLIS;
    }

    /**
     * Returns whether this router is in contact with so many others that it cannot be the one that is out of touch:
     * with most of them in a full mesh, otherwise with any.
     */
    boolean isInContact(List<StoreItemContent.Member> members, long nowMillis) {
        long contacts = members.stream()
                .map(member -> member.vm().id())
                .filter(id -> !id.equals(self.id()) && hasRecentContact(id, nowMillis))
                .count();
        return usesRelays(members.size()) ? contacts > 0 : 2 * (contacts + 1) > members.size();
    }

    /** Returns whether a fleet of this size exchanges updates through relays instead of a full mesh. */
    static boolean usesRelays(int members) {
        return members > MAXIMUM_FULL_MESH_SIZE;
    }

    /**
     * Returns the routers that keep the origins of streams for the others: all in a full mesh, otherwise the two that
     * are selected first as relays of each failure domain.
     */
    static List<EntryVm> streamHolders(List<EntryVm> members) {
        if (!usesRelays(members.size())) {
            return members;
        }
        List<EntryVm> holders = new ArrayList<>();
        byDomain(members)
                .forEach((domain, domainMembers) -> holders.addAll(rankedRelays(domain, domainMembers)
                        .subList(0, Math.min(STREAM_HOLDERS, domainMembers.size()))));
        return holders;
    }

    private static Map<FailureDomain, List<EntryVm>> byDomain(List<EntryVm> members) {
        Map<FailureDomain, List<EntryVm>> byDomain = new LinkedHashMap<>();
        members.forEach(member -> byDomain.computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>())
                .add(member));
        return byDomain;
    }

    private static List<EntryVm> rankedRelays(FailureDomain domain, List<EntryVm> members) {
        return Rendezvous.ranked(domain.value(), members, member -> member.id().value());
    }

    /** Selects the recipients among the known routers. */
    Recipients recipients(List<EntryVm> members, long nowMillis) {
        if (!usesRelays(members.size())) {
            List<EntryVm> others = members.stream()
                    .filter(member -> !member.id().equals(self.id()))
                    .toList();
            return new Recipients(others, List.of(), List.of());
        }
        Map<FailureDomain, List<EntryVm>> byDomain = byDomain(members);
        EntryVm ownRelay =
                selectRelay(self.failureDomain(), byDomain.getOrDefault(self.failureDomain(), List.of()), nowMillis);
        boolean isRelay = ownRelay.id().equals(self.id());
        List<EntryVm> followers = new ArrayList<>();
        List<EntryVm> remoteRelays = new ArrayList<>();
        for (EntryVm member : members) {
            boolean sameDomain = member.failureDomain().equals(self.failureDomain());
            boolean hasContact = hasRecentContact(member.id(), nowMillis);
            if (hasContact && !member.id().equals(self.id()) && !member.id().equals(ownRelay.id())) {
                (sameDomain ? followers : remoteRelays).add(member);
            }
        }
        if (isRelay) {
            byDomain.forEach((domain, domainMembers) -> {
                EntryVm relay =
                        domain.equals(self.failureDomain()) ? self : selectRelay(domain, domainMembers, nowMillis);
                if (!relay.id().equals(self.id()) && !remoteRelays.contains(relay)) {
                    remoteRelays.add(relay);
                }
            });
        }
        return new Recipients(isRelay ? List.of() : List.of(ownRelay), followers, remoteRelays);
    }

    private EntryVm selectRelay(FailureDomain domain, List<EntryVm> members, long nowMillis) {
        List<EntryVm> ranked = rankedRelays(domain, members);
        for (EntryVm candidate : ranked) {
            if (candidate.id().equals(self.id()) || isUsable(domain, candidate, nowMillis)) {
                return candidate;
            }
        }
        return ranked.isEmpty() ? self : ranked.getFirst();
    }

    /**
     * Returns whether a router may serve as relay: it sent a message within the relay timeout, or was selected so
     * recently that it may not have sent one yet.
     */
    private boolean isUsable(FailureDomain domain, EntryVm candidate, long nowMillis) {
        if (nowMillis < backoffUntilMillis.getOrDefault(candidate.id(), Long.MIN_VALUE)) {
            return false;
        }
        SelectedRelay current = selectedRelays.get(domain);
        if (current == null || !current.relay().equals(candidate.id())) {
            current = new SelectedRelay(candidate.id(), nowMillis);
            selectedRelays.put(domain, current);
        }
        long timeoutStartMillis = Math.max(
                current.selectedAtMillis(), lastContactAtMillis.getOrDefault(candidate.id(), Long.MIN_VALUE / 2));
        if (nowMillis - timeoutStartMillis <= RELAY_TIMEOUT_MILLIS) {
            return true;
        }
        backoffUntilMillis.put(candidate.id(), nowMillis + RELAY_BACKOFF_MILLIS);
        return false;
    }
}
