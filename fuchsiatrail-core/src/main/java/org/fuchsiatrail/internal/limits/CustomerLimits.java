package org.fuchsiatrail.internal.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.LimitTolerance;

/**
 * Keeps the limits that customers have over all routers. Each router decides alone, from its own use, from what the
 * others told of theirs, and from how many routers that covers: the rest of the limit belongs to the others.
 */
public final class CustomerLimits {

    /** The most customers whose use an update tells; the others use the smallest part of their limits. */
    private static final int MAXIMUM_TOLD = 32;

    /** The size of a customer's use in an update, in bytes. */
    private static final int BYTES_PER_USE = 20;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LimitTolerance tolerance;
    private final DoubleSupplier random;
    private final FleetUse fleet;
    private final ListedRouters listedRouters = new ListedRouters();
    private final Map<Integer, LimitedCustomer> customers = new HashMap<>();
    private boolean inForce;
    private long startedAtMillis = NEVER;
    private long lastRunMillis = NEVER;
    private long askedSinceMillis = NEVER;

    /**
     * Creates limits without any use.
     *
     * @param self this router
     * @param tolerance how exactly limits hold
     * @param random returns random numbers from 0 to 1
     */
    public CustomerLimits(EntryVm self, LimitTolerance tolerance, DoubleSupplier random) {
        this.tolerance = tolerance;
        this.random = random;
        this.fleet = new FleetUse(self);
    }

    /**
     * Prepares for the decisions and updates that follow; called at each tick.
     *
     * @param limitsCustomers whether the configuration in force limits any customer
     * @param listed the number of routers that the store lists
     * @param parent this router's parent in the tree of routers
     * @param nowMillis the time
     */
    public void run(boolean limitsCustomers, int listed, Optional<EntryVmId> parent, long nowMillis) {
        if (startedAtMillis == NEVER) {
            startedAtMillis = nowMillis;
        }
        listedRouters.observe(listed, nowMillis);
        fleet.setListed(listedRouters.count());
        fleet.setParent(parent);
        if (nowMillis - lastRunMillis >= tolerance.windowMillis() / LimitRate.ASKED_PARTS / 2) {
            // This router was suspended: what callers ask for is counted anew.
            askedSinceMillis = nowMillis;
            customers.values().forEach(customer -> customer.countAskedSince(nowMillis));
        }
        lastRunMillis = nowMillis;
        inForce = limitsCustomers;
        if (!inForce) {
            customers.clear();
        }
        fleet.expire(nowMillis);
        customers.values().removeIf(customer -> isIdle(customer.use(nowMillis)));
    }

    private static boolean isIdle(PeerMessage.CustomerUse use) {
        return use.asked() == 0 && use.admitted() == 0;
    }

    /**
     * Decides on a request that was not sent before.
     *
     * @param id the customer
     * @param limit its limit
     * @param amount the amount for which the request counts
     * @param nowMillis the time
     * @return the decision; an admitted request counts at once
     */
    public LimitDecision decide(CustomerId id, CustomerLimit limit, long amount, long nowMillis) {
        LimitRate.Group group = fleet.group(nowMillis);
        int key = key(id);
        LimitedCustomer customer = customers.computeIfAbsent(key, absent -> begin(key, limit, group, nowMillis));
        customer.setLimit(limit);
        return customer.decide(amount, group, fleet.othersUse(key, nowMillis), nowMillis, random.getAsDouble());
    }

    /**
     * Begins to count a customer. A router that has just started does not know what it admitted before, so it assumes
     * its part of what leaves no burst.
     */
    private LimitedCustomer begin(int key, CustomerLimit limit, LimitRate.Group group, long nowMillis) {
        LimitedCustomer customer = new LimitedCustomer(key, limit, tolerance, random.getAsDouble());
        customer.countAskedSince(askedSinceMillis);
        long unknownMillis = tolerance.windowMillis() - (nowMillis - startedAtMillis);
        if (unknownMillis > 0) {
            long assumed = LimitRate.useWithoutBurst(limit, tolerance, new LimitRate.Group(1, group.listed()));
            customer.assumeUse(assumed * unknownMillis / tolerance.windowMillis(), nowMillis);
        }
        return customer;
    }

    /**
     * Takes back a request that no upstream executed.
     *
     * @param id the customer
     * @param amount the amount for which it counted
     * @param admittedAtMillis when it was admitted
     * @param nowMillis the time
     */
    public void giveBack(CustomerId id, long amount, long admittedAtMillis, long nowMillis) {
        LimitedCustomer customer = customers.get(key(id));
        if (customer != null && amount > 0) {
            customer.giveBack(amount, admittedAtMillis, nowMillis);
        }
    }

    private static int key(CustomerId id) {
        return Hashing.xxh3_64().hashCharsToInt(id.value());
    }

    /**
     * Applies what a peer tells.
     *
     * @param from the peer
     * @param update its update
     * @param nowMillis the time
     */
    public void receive(EntryVmId from, PeerMessage.ForwardingNews update, long nowMillis) {
        if (inForce) {
            fleet.receive(from, update, nowMillis);
        }
    }

    /**
     * Says in an update whether this router counts use.
     *
     * @param update the update
     */
    public void writeMark(ForwardingNewsBuilder update) {
        update.countsUse(inForce);
    }

    /**
     * Adds the own use to an update for a full mesh.
     *
     * @param update the update
     * @param nowMillis the time
     */
    public void writeOwn(ForwardingNewsBuilder update, long nowMillis) {
        if (inForce) {
            update.subtreeUse(1, busiest(ownUse(nowMillis)));
        }
    }

    /**
     * Adds the use of the subtree to an update for the parent or for other domains.
     *
     * @param update the update
     * @param nowMillis the time
     * @return the bytes of the use in the update
     */
    public int writeUpward(ForwardingNewsBuilder update, long nowMillis) {
        if (!inForce) {
            return 0;
        }
        FleetUse.Told told = fleet.subtree(ownUse(nowMillis), nowMillis);
        List<PeerMessage.CustomerUse> uses = busiest(told.uses().values());
        update.subtreeUse(told.routers(), uses);
        return uses.size() * BYTES_PER_USE;
    }

    /**
     * Adds the use of all routers to an update for children.
     *
     * @param update the update
     * @param nowMillis the time
     * @return the bytes of the use in the update
     */
    public int writeDownward(ForwardingNewsBuilder update, long nowMillis) {
        if (!inForce) {
            return 0;
        }
        FleetUse.Told told = fleet.fleet(ownUse(nowMillis), nowMillis);
        List<PeerMessage.CustomerUse> uses = busiest(told.uses().values());
        update.fleetUse(told.routers(), uses);
        return uses.size() * BYTES_PER_USE;
    }

    private Collection<PeerMessage.CustomerUse> ownUse(long nowMillis) {
        return customers.values().stream()
                .map(customer -> customer.use(nowMillis))
                .toList();
    }

    /** Returns the use of the customers that need the largest part of their limits, as far as these are known. */
    private List<PeerMessage.CustomerUse> busiest(Collection<PeerMessage.CustomerUse> uses) {
        List<PeerMessage.CustomerUse> present = new ArrayList<>(uses);
        present.removeIf(CustomerLimits::isIdle);
        if (present.size() > MAXIMUM_TOLD) {
            present.sort(Comparator.comparingDouble(this::partOfLimit).reversed());
            return List.copyOf(present.subList(0, MAXIMUM_TOLD));
        }
        return present;
    }

    private double partOfLimit(PeerMessage.CustomerUse use) {
        LimitedCustomer customer = customers.get(use.customer());
        double limit = customer == null ? 1 : Math.max(1, tolerance.perWindow(customer.limit()));
        return (use.asked() * (double) LimitRate.ASKED_PARTS + use.admitted()) / limit;
    }
}
