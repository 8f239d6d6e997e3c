package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Selects the routers that a router sends its peer updates to.
 *
 * <p>Load pattern: in a full mesh each router handles as many messages as there are routers, and in a fleet of many
 * small VMs this takes much of their processor time and of their links. Above a few routers those of a failure domain
 * therefore form a tree: each sends its updates to its parent and to its children, and the root of each domain also to
 * the roots of the others. No router has more than a few recipients, however large the fleet is. A parent that becomes
 * unresponsive is replaced, first by its own parent; while routers disagree on the tree, updates still reach everyone
 * through both.
 */
final class GossipTopology {

    /** The most routers that form a full mesh; each of them then handles about 50 messages a second. */
    static final int MAXIMUM_FULL_MESH_SIZE = 12;

    /** The most routers that are tried at the same time in place of an unresponsive relay. */
    private static final int MAXIMUM_TRIED = 3;

    /** The most children of a router while all routers are responsive. */
    static final int MAXIMUM_CHILDREN = 3;

    /** Time without a message from a relay before another is selected, in milliseconds; three heartbeats. */
    static final long RELAY_TIMEOUT_MILLIS = 1_000;

    /** How long an unresponsive relay is not selected again, in milliseconds; a restart takes about two seconds. */
    private static final long RELAY_BACKOFF_MILLIS = 4_000;

    /** How long a router counts as a follower after its last message, in milliseconds; five heartbeats. */
    private static final long FOLLOWER_TIMEOUT_MILLIS = 1_600;

    /** The routers of each failure domain that keep the origins of streams: its relay and the next one. */
    private static final int STREAM_HOLDERS = 2;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EntryVm self;
    private final Map<EntryVmId, Long> lastContactAtMillis = new HashMap<>();
    private final Map<EntryVmId, Long> backoffUntilMillis = new HashMap<>();
    private final Map<EntryVmId, Long> triedSinceMillis = new HashMap<>();
    private List<EntryVm> rankedMembers = List.of();
    private Map<FailureDomain, List<EntryVm>> rankedByDomain = Map.of();

    /** A selected relay, and routers that are tried because they would be better or may have to replace it. */
    private record Selection(Optional<EntryVm> relay, List<EntryVm> tried) {}

    /**
     * The routers that receive updates.
     *
     * @param peers all other routers of a full mesh
     * @param parent the router of the own failure domain through which the others hear of this one; empty at the root
     *     and in a full mesh
     * @param tried routers of the own failure domain that may become the parent if they respond
     * @param children routers of the own failure domain that hear of all others through this one; all rank lower, so
     *     that a connection between two routers ends when neither is the other's parent any more
     * @param remoteRelays routers of other failure domains that receive the updates of the own domain
     */
    record Recipients(
            List<EntryVm> peers,
            Optional<EntryVm> parent,
            List<EntryVm> tried,
            List<EntryVm> children,
            List<EntryVm> remoteRelays) {

        /** Returns whether this router passes on updates of others. */
        boolean isRelay() {
            return !children.isEmpty() || !remoteRelays.isEmpty();
        }

        /** Returns the parent, routers that may replace it, and routers of other failure domains. */
        List<EntryVm> upward() {
            List<EntryVm> upward = new ArrayList<>(remoteRelays);
            upward.addAll(tried);
            parent.ifPresent(upward::add);
            return upward;
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
        return nowMillis - lastContactAtMillis.getOrDefault(peer, NEVER) < FOLLOWER_TIMEOUT_MILLIS;
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
            return new Recipients(others, Optional.empty(), List.of(), List.of(), List.of());
        }
        rank(members);
        List<EntryVm> ownRanked = rankedByDomain.getOrDefault(self.failureDomain(), List.of());
        int position = position(ownRanked);
        Selection selection = select(parentCandidates(ownRanked, position), nowMillis);
        Optional<EntryVm> parent = selection.relay();
        List<EntryVm> children = ownRanked.stream()
                .skip(position + 1L)
                .filter(member -> hasRecentContact(member.id(), nowMillis))
                .toList();
        List<EntryVm> remoteRelays = new ArrayList<>();
        // A root that has found a parent is no longer a neighbour of other domains.
        if (parent.filter(relay -> isResponsive(relay, nowMillis)).isEmpty()) {
            members.stream()
                    .filter(member -> !isInOwnDomain(member) && hasRecentContact(member.id(), nowMillis))
                    .forEach(remoteRelays::add);
        }
        if (parent.isEmpty()) {
            rankedByDomain.forEach((domain, ranked) -> {
                if (!domain.equals(self.failureDomain())) {
                    addRemoteRelays(remoteRelays, ranked, nowMillis);
                }
            });
        }
        return new Recipients(List.of(), parent, selection.tried(), children, remoteRelays);
    }

    private void addRemoteRelays(List<EntryVm> remoteRelays, List<EntryVm> ranked, long nowMillis) {
        Selection selection = select(ranked, nowMillis);
        List<EntryVm> selected = new ArrayList<>(selection.tried());
        selected.add(selection.relay().orElse(ranked.getFirst()));
        selected.stream().filter(relay -> !remoteRelays.contains(relay)).forEach(remoteRelays::add);
    }

    /** Returns the position of this router among those of its domain; behind them while it is not registered. */
    private int position(List<EntryVm> ranked) {
        int position = 0;
        while (position < ranked.size() && !ranked.get(position).id().equals(self.id())) {
            position++;
        }
        return position;
    }

    private boolean isInOwnDomain(EntryVm member) {
        return member.failureDomain().equals(self.failureDomain());
    }

    private void rank(List<EntryVm> members) {
        if (!members.equals(rankedMembers)) {
            rankedMembers = List.copyOf(members);
            rankedByDomain = new LinkedHashMap<>();
            byDomain(members)
                    .forEach(
                            (domain, domainMembers) -> rankedByDomain.put(domain, rankedRelays(domain, domainMembers)));
        }
    }

    /**
     * Returns the routers that may be this router's parent: those on its path to the root, then all others that rank
     * higher. Parents always rank higher than their children, so that there are no cycles.
     */
    private static List<EntryVm> parentCandidates(List<EntryVm> ranked, int position) {
        Set<EntryVm> candidates = new LinkedHashSet<>();
        for (int ancestor = position; ancestor > 0; ) {
            ancestor = (ancestor - 1) / MAXIMUM_CHILDREN;
            candidates.add(ranked.get(ancestor));
        }
        candidates.addAll(ranked.subList(0, position));
        return List.copyOf(candidates);
    }

    /**
     * Selects the first responsive candidate. Those that rank before it are tried from time to time. If none responds,
     * the first is selected that has not been tried in vain recently; after one failed, several are tried at a time.
     */
    private Selection select(List<EntryVm> candidates, long nowMillis) {
        Optional<EntryVm> responsive = Optional.empty();
        List<EntryVm> tried = new ArrayList<>();
        int maximumTried = 1;
        for (EntryVm candidate : candidates) {
            if (isResponsive(candidate, nowMillis)) {
                responsive = Optional.of(candidate);
                break;
            }
            if (tried.size() < maximumTried) {
                if (isInBackoff(candidate, nowMillis)) {
                    maximumTried = MAXIMUM_TRIED;
                } else {
                    tried.add(candidate);
                }
            }
        }
        candidates.stream()
                .filter(candidate -> !tried.contains(candidate))
                .forEach(candidate -> triedSinceMillis.remove(candidate.id()));
        if (responsive.isPresent() || tried.isEmpty()) {
            return new Selection(responsive, tried);
        }
        return new Selection(Optional.of(tried.removeFirst()), tried);
    }

    private boolean isResponsive(EntryVm candidate, long nowMillis) {
        return nowMillis - lastContactAtMillis.getOrDefault(candidate.id(), Long.MIN_VALUE / 2) <= RELAY_TIMEOUT_MILLIS;
    }

    /**
     * Returns whether a router that does not respond is not tried now: it has just stopped responding, or was tried in
     * vain for the relay timeout.
     */
    private boolean isInBackoff(EntryVm candidate, long nowMillis) {
        EntryVmId id = candidate.id();
        long lastBackoffUntilMillis = backoffUntilMillis.getOrDefault(id, NEVER);
        if (nowMillis < lastBackoffUntilMillis) {
            return true;
        }
        boolean stoppedResponding = lastContactAtMillis.getOrDefault(id, NEVER) > lastBackoffUntilMillis;
        long triedSince = triedSinceMillis.computeIfAbsent(id, key -> nowMillis);
        if (!stoppedResponding && nowMillis - triedSince <= RELAY_TIMEOUT_MILLIS) {
            return false;
        }
        backoffUntilMillis.put(id, nowMillis + RELAY_BACKOFF_MILLIS);
        return true;
    }
}
