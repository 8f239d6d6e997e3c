package org.fuchsiatrail.internal.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.PeerMessage;

/** Adds and subtracts the use of customers. */
final class CustomerUses {

    /** The largest amount that peers may tell, so that no sum overflows. */
    private static final long MAXIMUM_AMOUNT = 1L << 50;

    private CustomerUses() {}

    static PeerMessage.CustomerUse none(int customer) {
        return new PeerMessage.CustomerUse(customer, 0, 0, 0);
    }

    /** Adds use, or subtracts it with the sign -1; nothing goes below zero. */
    static PeerMessage.CustomerUse add(PeerMessage.CustomerUse total, PeerMessage.CustomerUse use, int sign) {
        return new PeerMessage.CustomerUse(
                total.customer(),
                bounded(total.asked() + sign * use.asked()),
                bounded(total.recent() + sign * use.recent()),
                bounded(total.admitted() + sign * use.admitted()));
    }

    /** Returns use by its customer, bounded to what is plausible. */
    static Map<Integer, PeerMessage.CustomerUse> byCustomer(Collection<PeerMessage.CustomerUse> uses) {
        Map<Integer, PeerMessage.CustomerUse> byCustomer = new HashMap<>();
        uses.forEach(use -> byCustomer.put(use.customer(), add(none(use.customer()), use, 1)));
        return byCustomer;
    }

    /** Adds the use of each customer to sums. */
    static void addAll(Map<Integer, PeerMessage.CustomerUse> sums, Collection<PeerMessage.CustomerUse> uses, int sign) {
        uses.forEach(use -> sums.compute(use.customer(), (key, sum) -> add(sum == null ? none(key) : sum, use, sign)));
    }

    private static long bounded(long amount) {
        return Math.clamp(amount, 0, MAXIMUM_AMOUNT);
    }
}
