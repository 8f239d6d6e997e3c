package org.fuchsiatrail.internal.paths;

import java.util.List;

/**
 * Decides whether a router has probably lost its paths to all of several destinations.
 *
 * <p>Load pattern: a quarter or half of many engines is dark, and the router meets one of them after the other, while
 * the rest is slow to answer under load. In another case its own paths to all engines hang or are reset. A few failures
 * in a row are enough to relay a request, which costs little. A request that another router relayed is refused then, so
 * that most of the destinations that were tried lately must have failed where there are many. A destination that other
 * routers don't reach either tells nothing of the own paths.
 */
public final class LostPathsDecision {

    /** For how long an attempt counts as recent, in milliseconds. */
    public static final long RECENT_MILLIS = 1_000;

    /** The number of destinations up to which their number does not matter. */
    private static final int FEW_DESTINATIONS = 6;

    /** How many more must have failed where there are more, since half of them may be dark. */
    private static final int FURTHER_FAILURES = 4;

    /** The least share of the destinations tried lately that must have failed where there are more. */
    private static final double FAILED_SHARE = 0.6;

    private LostPathsDecision() {}

    /** What the latest attempts show of the paths. */
    public sealed interface Decision {}

    /** There may be a path to some destination. */
    public record Usable() implements Decision {}

    /**
     * The paths to all destinations are probably lost.
     *
     * @param failed the destinations that failed
     * @param tried the destinations that were tried lately
     */
    public record Lost(int failed, int tried) implements Decision {}

    /**
     * What the latest attempts tell of one destination.
     *
     * @param triedLately whether an attempt was sent, failed or was answered lately
     * @param failed whether attempts failed or are silent since the last answer of any destination
     * @param darkElsewhere whether other routers, which reach others, don't reach it either
     */
    public record Destination(boolean triedLately, boolean failed, boolean darkElsewhere) {}

    /**
     * Decides by the failures since the last answer.
     *
     * @param destinations all destinations
     * @param failedWhenLost how many of few destinations must have failed, or all of fewer
     * @param relayed whether another router relayed the request
     * @return the decision
     */
    public static Decision decide(List<Destination> destinations, int failedWhenLost, boolean relayed) {
        int failed = 0;
        int tried = 0;
        for (Destination destination : destinations) {
            if (!destination.darkElsewhere()) {
                failed += destination.failed() ? 1 : 0;
                tried += destination.triedLately() || destination.failed() ? 1 : 0;
            }
        }
        double needed = relayed && !areFew(destinations.size())
                ? Math.max(failedWhenLost + FURTHER_FAILURES, FAILED_SHARE * tried)
                : Math.min(failedWhenLost, destinations.size());
        boolean lost = failed > 0 && failed >= needed;
        return lost ? new Lost(failed, tried) : new Usable();
    }

    /**
     * Returns whether there are so few destinations that few failures concern all.
     *
     * @param destinations the number of destinations
     * @return whether there are few
     */
    public static boolean areFew(int destinations) {
        return destinations <= FEW_DESTINATIONS;
    }
}
