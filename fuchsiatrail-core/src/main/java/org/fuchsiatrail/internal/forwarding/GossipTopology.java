package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Decides whom a router tells its news.
 *
 * <p>Load pattern: when each router tells each other one, a router handles as many messages as there are routers, and
 * many small VMs spend their processors on them. Above a few routers each one tells only a relay of its failure domain.
 * The relay tells the routers that follow it and one relay of each other domain. A relay is replaced when it falls
 * silent; routers that disagree on the relay for a while still reach each other through both.
 */
final class GossipTopology {

    /** The most routers that tell each other directly; each then handles about 50 messages a second. */
    static final int LARGEST_FLAT_FLEET = 12;

    /** How long a relay may be silent before another is chosen, in milliseconds; three heartbeats. */
    static final long SILENCE_MILLIS = 1_000;

    /** How long a relay that fell silent is not chosen again, in milliseconds; a restart takes about two seconds. */
    private static final long AVOID_MILLIS = 4_000;

    /** How long a router counts as following after its last news, in milliseconds; five heartbeats. */
    private static final long FOLLOWING_MILLIS = 1_600;

    private final EntryVm self;
    private final Map<EntryVmId, Long> heardAtMillis = new HashMap<>();
    private final Map<EntryVmId, Long> avoidUntilMillis = new HashMap<>();
    private final Map<FailureDomain, Chosen> chosen = new HashMap<>();

    private record Chosen(EntryVmId relay, long atMillis) {}

    /**
     * Whom to tell.
     *
     * @param peers routers that are told what this router itself has seen
     * @param followers routers of the own failure domain that are told all that this router knows
     * @param distantRelays routers of other failure domains that are told what the own domain has seen
     */
    record Audience(List<EntryVm> peers, List<EntryVm> followers, List<EntryVm> distantRelays) {

        /** Tells whether this router passes on what others tell it. */
        boolean relays() {
            return !followers.isEmpty() || !distantRelays.isEmpty();
        }
    }

    GossipTopology(EntryVm self) {
        this.self = self;
    }

    /** Remembers that a router was heard. */
    void heard(EntryVmId peer, long nowMillis) {
        heardAtMillis.put(peer, nowMillis);
    }

    /** Tells whether a router was heard lately. */
    boolean heardLately(EntryVmId peer, long nowMillis) {
        return nowMillis - heardAtMillis.getOrDefault(peer, Long.MIN_VALUE / 2) < FOLLOWING_MILLIS;
    }

    /** Tells whether a fleet is so large that news goes by way of relays. */
    static boolean large(int members) {
        return members > LARGEST_FLAT_FLEET;
    }

    /** Decides whom to tell, of the routers that are known. */
    Audience audience(List<EntryVm> members, long nowMillis) {
        if (!large(members.size())) {
            List<EntryVm> others = members.stream()
                    .filter(member -> !member.id().equals(self.id()))
                    .toList();
            return new Audience(others, List.of(), List.of());
        }
        Map<FailureDomain, List<EntryVm>> byDomain = new LinkedHashMap<>();
        members.forEach(member -> byDomain.computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>())
                .add(member));
        EntryVm own = relay(self.failureDomain(), byDomain.getOrDefault(self.failureDomain(), List.of()), nowMillis);
        boolean relays = own.id().equals(self.id());
        List<EntryVm> followers = new ArrayList<>();
        List<EntryVm> distant = new ArrayList<>();
        for (EntryVm member : members) {
            boolean near = member.failureDomain().equals(self.failureDomain());
            boolean heard = heardLately(member.id(), nowMillis);
            if (heard && !member.id().equals(self.id()) && !member.id().equals(own.id())) {
                (near ? followers : distant).add(member);
            }
        }
        if (relays) {
            byDomain.forEach((domain, there) -> {
                EntryVm relay = domain.equals(self.failureDomain()) ? self : relay(domain, there, nowMillis);
                if (!relay.id().equals(self.id()) && !distant.contains(relay)) {
                    distant.add(relay);
                }
            });
        }
        return new Audience(relays ? List.of() : List.of(own), followers, distant);
    }

    private EntryVm relay(FailureDomain domain, List<EntryVm> members, long nowMillis) {
        List<EntryVm> ranked =
                Rendezvous.ranked(domain.value(), members, member -> member.id().value());
        for (EntryVm candidate : ranked) {
            if (candidate.id().equals(self.id()) || usable(domain, candidate, nowMillis)) {
                return candidate;
            }
        }
        return ranked.isEmpty() ? self : ranked.getFirst();
    }

    /** Tells whether a relay may be used: it was heard lately, or chosen so lately that it could not yet be heard. */
    private boolean usable(FailureDomain domain, EntryVm candidate, long nowMillis) {
        if (nowMillis < avoidUntilMillis.getOrDefault(candidate.id(), Long.MIN_VALUE)) {
            return false;
        }
        Chosen before = chosen.get(domain);
        if (before == null || !before.relay().equals(candidate.id())) {
            before = new Chosen(candidate.id(), nowMillis);
            chosen.put(domain, before);
        }
        long since = Math.max(before.atMillis(), heardAtMillis.getOrDefault(candidate.id(), Long.MIN_VALUE / 2));
        if (nowMillis - since <= SILENCE_MILLIS) {
            return true;
        }
        avoidUntilMillis.put(candidate.id(), nowMillis + AVOID_MILLIS);
        return false;
    }
}
