package org.fuchsiatrail.internal.limits;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.LimitTolerance;

/**
 * A customer with a limit at one router: what its callers asked for, what was admitted, and the decision on the next
 * request.
 *
 * <p>While callers ask for more than the group may admit, each router admits the same fraction of what it is asked for.
 * What is left of a request that was not admitted counts for the next one, so that the fraction is exact. The first
 * remainder is random: else no router that is asked rarely would admit anything, or all would.
 */
final class LimitedCustomer {

    /** The slots of a window; the times over which use is counted are multiples of them. */
    private static final int SLOTS = 32;

    /** The shortest time that stands for the time over which requests are counted, in milliseconds. */
    private static final long MINIMUM_ASKED_MILLIS = 200;

    private static final long MINIMUM_RETRY_MILLIS = 250;

    /** A large part of a remainder is kept, but no more than this many times the request at hand. */
    private static final long MAXIMUM_REMAINDER = 2;

    /** Remainders are counted in thousandths, as a request may count as one. */
    private static final long REMAINDER_PARTS = 1_000;

    private final int key;
    private final LimitTolerance tolerance;
    private final SlidingCount asked;
    private final SlidingCount admitted;
    private final double firstRemainder;
    private CustomerLimit limit;
    private long remainder = -1;
    private long askedSinceMillis;

    LimitedCustomer(int key, CustomerLimit limit, LimitTolerance tolerance, double firstRemainder) {
        long slotMillis = tolerance.windowMillis() / SLOTS;
        this.key = key;
        this.limit = limit;
        this.tolerance = tolerance;
        this.asked = new SlidingCount(slotMillis / 2, 2 * SLOTS / LimitRate.ASKED_PARTS - 1);
        this.admitted = new SlidingCount(slotMillis, SLOTS);
        this.firstRemainder = firstRemainder;
    }

    CustomerLimit limit() {
        return limit;
    }

    void setLimit(CustomerLimit newLimit) {
        limit = newLimit;
    }

    /** Sets since when requests are counted without a gap. */
    void countAskedSince(long millis) {
        askedSinceMillis = millis;
    }

    /** Counts this router's part of an earlier use that is not known, evenly over the window before. */
    void assumeUse(long amount, long nowMillis) {
        long slotMillis = tolerance.windowMillis() / SLOTS;
        for (int back = SLOTS; back > 0; back--) {
            admitted.add(amount / SLOTS, nowMillis - back * slotMillis);
        }
    }

    /** Returns what was asked and admitted at this router; what was asked in a shorter time stands for all. */
    PeerMessage.CustomerUse use(long nowMillis) {
        long askedMillis = tolerance.windowMillis() / LimitRate.ASKED_PARTS;
        int slots = SLOTS / LimitRate.ASKED_PARTS * (showsRiseSoon() ? 1 : 2);
        long countedMillis = slots * tolerance.windowMillis() / SLOTS / 2;
        return new PeerMessage.CustomerUse(
                key,
                asked.sum(slots - 1, nowMillis)
                        * askedMillis
                        / Math.clamp(nowMillis - askedSinceMillis, MINIMUM_ASKED_MILLIS, countedMillis),
                admitted.sum(SLOTS / LimitRate.RECENT_PARTS - 1, nowMillis),
                admitted.sum(nowMillis));
    }

    /**
     * Returns whether requests are counted over half of the time, so that a rise shows sooner. The reserve covers what
     * is admitted meanwhile for a customer with a small limit, whose few requests need the whole time.
     */
    private boolean showsRiseSoon() {
        return limit.perSecond() * tolerance.windowMillis() / LimitRate.ASKED_PARTS / 2 / 1_000 > tolerance.reserve();
    }

    /**
     * Decides on a request, which counts at once if it is admitted.
     *
     * @param amount the amount for which it counts
     * @param group the routers that know of each other
     * @param othersUse what was asked and admitted at the others of them
     * @param nowMillis the time
     * @param spread a random number from 0 to 1 that spreads retries
     */
    LimitDecision decide(
            long amount, LimitRate.Group group, PeerMessage.CustomerUse othersUse, long nowMillis, double spread) {
        asked.add(amount, nowMillis);
        PeerMessage.CustomerUse own = use(nowMillis);
        PeerMessage.CustomerUse all = CustomerUses.add(own, othersUse, 1);
        long perSecond = LimitRate.perSecond(limit, tolerance, group, all);
        long askedPerSecond = LimitRate.askedPerSecond(tolerance, all);
        if (perSecond < askedPerSecond && !takesFraction(amount, perSecond, askedPerSecond)) {
            long ownPerSecond = (long) ((double) perSecond * own.asked() / Math.max(1, all.asked()));
            return new LimitDecision.Refused(
                    amount,
                    retryMillis(amount, ownPerSecond, spread),
                    all.admitted(),
                    perSecond,
                    ownPerSecond,
                    group.routers(),
                    group.listed());
        }
        admitted.add(amount, nowMillis);
        return new LimitDecision.Admitted(amount);
    }

    /** Returns whether a request is within the fraction of all that this router admits. */
    private boolean takesFraction(long amount, long perSecond, long askedPerSecond) {
        long parts = amount * REMAINDER_PARTS;
        if (remainder < 0) {
            remainder = (long) (firstRemainder * parts);
        }
        long share = (long) (parts * ((double) perSecond / askedPerSecond));
        remainder = Math.min(remainder + share, MAXIMUM_REMAINDER * parts);
        if (remainder < parts) {
            return false;
        }
        remainder -= parts;
        return true;
    }

    /** Returns when this router's part of the allowance suffices for the request. */
    private long retryMillis(long amount, long ownPerSecond, double spread) {
        long millis = Math.clamp(
                Math.max(1, amount - remainder / REMAINDER_PARTS) * 1_000 / Math.max(1, ownPerSecond),
                MINIMUM_RETRY_MILLIS,
                tolerance.windowMillis() / 2);
        return millis + (long) (spread * millis);
    }

    /** Takes back a request that was not executed. */
    void giveBack(long amount, long admittedAtMillis, long nowMillis) {
        admitted.remove(amount, admittedAtMillis, nowMillis);
    }
}
