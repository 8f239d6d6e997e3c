package org.fuchsiatrail.internal.limits;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.LimitTolerance;

/**
 * Computes how much of a customer's requests a group of routers that know of each other may admit now.
 *
 * <p>Load pattern: the requests of a customer come in at many routers, few at each, and rise within a second to many
 * times the limit, before the routers know it of each other. What was admitted above the limit meanwhile must then be
 * saved within the window, without refusing all: a rate that follows the recent use keeps the limit, and a second one
 * ends what the window does not allow any more.
 */
final class LimitRate {

    /** The parts of the window over which recent use and recent requests are counted. */
    static final int RECENT_PARTS = 4;

    static final int ASKED_PARTS = 8;

    /** The fraction of the burst that may be used within the time over which requests are counted. */
    private static final long BURST_PERMILLE = 600;

    /** The fraction of the reserve that may be used within that time. */
    private static final long RESERVE_PERMILLE = 500;

    /** The fraction of the reserve that recent use may have. */
    private static final long RESERVE_PARTS = 3;

    /** The fraction of what may run above the limit that is planned for. */
    private static final long OVER_PARTS = 4;

    private LimitRate() {}

    /**
     * Routers that know of each other.
     *
     * @param routers the number of these routers
     * @param listed the number of all routers, of which the others may use the rest of the limit
     */
    record Group(long routers, long listed) {

        /** Returns the group's part of an amount. */
        long part(long amount) {
            return routers >= listed ? amount : amount / listed * routers + amount % listed * routers / listed;
        }
    }

    /** Returns the amount a second that a group may admit, given what it has admitted. */
    static long perSecond(
            CustomerLimit limit, LimitTolerance tolerance, Group group, PeerMessage.CustomerUse groupUse) {
        return Math.min(pace(limit, tolerance, group, groupUse), rest(limit, tolerance, group, groupUse));
    }

    /** Returns the rate at which the recent use returns to that of the limit. */
    private static long pace(
            CustomerLimit limit, LimitTolerance tolerance, Group group, PeerMessage.CustomerUse groupUse) {
        long window = tolerance.windowMillis();
        long rate = group.part(limit.perSecond());
        long burst = group.part(limit.burst());
        long usualBurst = rate * window / ASKED_PARTS / 1_000;
        long level = rate * window / RECENT_PARTS / 1_000
                + Math.max(0, burst - usualBurst)
                + group.part(tolerance.reserve()) / RESERVE_PARTS;
        long correction = (level - groupUse.recent()) * 1_000 * ASKED_PARTS / window;
        long mostAbove =
                (burst * BURST_PERMILLE + group.part(tolerance.reserve()) * RESERVE_PERMILLE) * ASKED_PARTS / window;
        return Math.max(0, rate + Math.min(correction, mostAbove));
    }

    /** Returns the rate at which what is left of the window lasts for the time in which routers learn of it. */
    private static long rest(
            CustomerLimit limit, LimitTolerance tolerance, Group group, PeerMessage.CustomerUse groupUse) {
        long left = planned(limit, tolerance, group) - groupUse.admitted();
        return Math.max(0, left * 1_000 / lastingMillis(tolerance));
    }

    /** Returns the use to plan for: the rest of the tolerance is for what routers do not know of each other yet. */
    private static long planned(CustomerLimit limit, LimitTolerance tolerance, Group group) {
        long exact = tolerance.exactPerWindow(limit);
        long over = tolerance.perWindow(limit) - exact - tolerance.reserve();
        return group.part(exact + over / OVER_PARTS + tolerance.reserve() / 2);
    }

    private static long lastingMillis(LimitTolerance tolerance) {
        return tolerance.windowMillis() * 3 / 16;
    }

    /** Returns the use in a window of which only the rate of the limit is left, but no burst. */
    static long useWithoutBurst(CustomerLimit limit, LimitTolerance tolerance, Group group) {
        long left = group.part(limit.perSecond()) * lastingMillis(tolerance) / 1_000;
        long mostUsed = group.part((tolerance.exactPerWindow(limit) + tolerance.perWindow(limit)) / 2);
        return Math.max(0, mostUsed - left);
    }

    /** Returns the amount a second that callers asked the group for. */
    static long askedPerSecond(LimitTolerance tolerance, PeerMessage.CustomerUse groupUse) {
        return groupUse.asked() * 1_000 * ASKED_PARTS / tolerance.windowMillis();
    }
}
