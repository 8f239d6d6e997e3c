package org.fuchsiatrail.internal.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;

/**
 * What the other routers told of the use of limited customers, and how many routers that covers.
 *
 * <p>In a full mesh each router tells all others its own use. In a tree a router tells its parent the use of its
 * subtree, the roots tell each other that of their domains, and each router tells its children that of the fleet. What
 * was told last counts until the next heartbeat, or until the teller has been silent for long; then neither its use nor
 * its routers count any more.
 */
final class FleetUse {

    /** How long a report counts, in milliseconds: the time of several heartbeats. */
    static final long VALIDITY_MILLIS = 3_000;

    /** After how long a router that tells no use counts as one that knows no limits, in milliseconds. */
    private static final long UNCOUNTED_MILLIS = 1_000;

    private final EntryVm self;
    private final Map<EntryVmId, Report> subtrees = new HashMap<>();
    private final Map<FailureDomain, Report> domains = new HashMap<>();
    private final Map<EntryVmId, Uncounted> uncounted = new HashMap<>();
    private Optional<Report> rest = Optional.empty();
    private Optional<EntryVmId> parent = Optional.empty();
    private long listed = 1;
    private Report toldUpward = new Report(0, Map.of(), 0);

    /** The use of some routers as it was told. */
    private record Report(long routers, Map<Integer, PeerMessage.CustomerUse> uses, long atMillis) {
        boolean isValid(long nowMillis) {
            return nowMillis - atMillis < VALIDITY_MILLIS;
        }
    }

    /** Since when and until when a router sent updates without saying that it counts use. */
    private record Uncounted(long sinceMillis, long lastMillis) {}

    FleetUse(EntryVm self) {
        this.self = self;
    }

    void setParent(Optional<EntryVmId> newParent) {
        parent = newParent;
    }

    /** Sets the number of all routers, among which limits are divided. */
    void setListed(long routers) {
        listed = Math.max(1, routers);
    }

    /** Applies what a peer tells. */
    void receive(EntryVmId from, PeerMessage.ForwardingNews update, long nowMillis) {
        if (!update.countsUse()) {
            uncounted.merge(
                    from,
                    new Uncounted(nowMillis, nowMillis),
                    (known, latest) -> new Uncounted(known.sinceMillis(), latest.lastMillis()));
            return;
        }
        uncounted.remove(from);
        boolean sameDomain = update.vm().failureDomain().equals(self.failureDomain());
        if (update.workByChanges() && parent.equals(Optional.of(from))) {
            subtrees.remove(from);
            if (update.fleetRouters() > 0) {
                rest = Optional.of(restOf(update, nowMillis));
            }
        } else if (update.subtreeRouters() > 0) {
            Report report =
                    new Report(update.subtreeRouters(), CustomerUses.byCustomer(update.subtreeUse()), nowMillis);
            if (sameDomain || !update.workByChanges()) {
                subtrees.put(from, report);
            } else {
                domains.put(update.vm().failureDomain(), report);
            }
        }
    }

    /** Returns the use of the fleet without that of the own subtree, which the parent's sum contains. */
    private Report restOf(PeerMessage.ForwardingNews update, long nowMillis) {
        Map<Integer, PeerMessage.CustomerUse> uses = CustomerUses.byCustomer(update.fleetUse());
        CustomerUses.addAll(uses, toldUpward.uses().values(), -1);
        return new Report(Math.max(0, update.fleetRouters() - toldUpward.routers()), uses, nowMillis);
    }

    /** Drops reports that do not count any more. */
    void expire(long nowMillis) {
        subtrees.values().removeIf(report -> !report.isValid(nowMillis));
        domains.values().removeIf(report -> !report.isValid(nowMillis));
        rest = rest.filter(report -> report.isValid(nowMillis));
        uncounted.values().removeIf(report -> nowMillis - report.lastMillis() >= VALIDITY_MILLIS);
    }

    /**
     * Returns whether a neighbour that responds does not count use, since its build or its configuration knows no
     * limits. It and the routers behind it are not asked to share a limit.
     */
    private boolean hasUncountedNeighbour(long nowMillis) {
        return uncounted.values().stream()
                .anyMatch(router -> router.lastMillis() - router.sinceMillis() >= UNCOUNTED_MILLIS
                        && nowMillis - router.lastMillis() < VALIDITY_MILLIS);
    }

    /** Returns the routers that know of each other. */
    LimitRate.Group group(long nowMillis) {
        return new LimitRate.Group(Math.min(routers(others(nowMillis), nowMillis), listed), listed);
    }

    /** Returns how many routers use the limit as this router and the tellers of some reports know it. */
    private long routers(Collection<Report> reports, long nowMillis) {
        long counted = 1 + reports.stream().mapToLong(Report::routers).sum();
        return hasUncountedNeighbour(nowMillis) ? Math.max(counted, listed) : counted;
    }

    /** Returns the use of a customer at all other routers that are known of. */
    PeerMessage.CustomerUse othersUse(int customer, long nowMillis) {
        PeerMessage.CustomerUse sum = CustomerUses.none(customer);
        for (Report report : others(nowMillis)) {
            PeerMessage.CustomerUse use = report.uses().get(customer);
            sum = use == null ? sum : CustomerUses.add(sum, use, 1);
        }
        return sum;
    }

    private List<Report> others(long nowMillis) {
        List<Report> reports = new ArrayList<>(subtrees.values());
        boolean isRoot = parent.isEmpty() && !domains.isEmpty();
        if (isRoot) {
            reports.addAll(domains.values());
        } else {
            rest.ifPresent(reports::add);
        }
        reports.removeIf(report -> !report.isValid(nowMillis));
        return reports;
    }

    /** Returns the use at this router and at those that report through it, which counts as told to the parent. */
    Told subtree(Collection<PeerMessage.CustomerUse> own, long nowMillis) {
        Told told = sum(own, subtrees.values(), nowMillis);
        toldUpward = new Report(told.routers(), told.uses(), nowMillis);
        return told;
    }

    /** Returns the use at all routers that are known of. */
    Told fleet(Collection<PeerMessage.CustomerUse> own, long nowMillis) {
        return sum(own, others(nowMillis), nowMillis);
    }

    private Told sum(Collection<PeerMessage.CustomerUse> own, Collection<Report> reports, long nowMillis) {
        List<Report> valid =
                reports.stream().filter(report -> report.isValid(nowMillis)).toList();
        Map<Integer, PeerMessage.CustomerUse> sums = CustomerUses.byCustomer(own);
        valid.forEach(report -> CustomerUses.addAll(sums, report.uses().values(), 1));
        return new Told(routers(valid, nowMillis), sums);
    }

    /**
     * The use at some routers.
     *
     * @param routers their number
     * @param uses the use of each customer
     */
    record Told(long routers, Map<Integer, PeerMessage.CustomerUse> uses) {}
}
