package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.forwarding.VersionShares.Share;

/**
 * Decides when the version shares of a service change, and to what.
 *
 * <p>Load pattern: the upstreams of a service are replaced by ones of another software version, one after the other or
 * all at once. Each change leaves some streams whose version cannot be told for a moment, so shares are changed only
 * when a version has lost its upstreams or its upstreams would get clearly more streams than others.
 */
final class VersionShareDecision {

    /** How many times its fair part a version may get before the shares are changed. */
    private static final double MAXIMUM_IMBALANCE = 1.5;

    /** The least upstreams of a version, so that a stream can go on after the end of one of them. */
    private static final int MINIMUM_UPSTREAMS = 2;

    private VersionShareDecision() {}

    /**
     * The upstreams of a software version.
     *
     * @param active the number that accept new requests
     * @param responsive the number of these that are not suspected
     */
    record Upstreams(int active, int responsive) {}

    /**
     * Returns the shares that replace the current ones, or empty if these stay.
     *
     * @param current the shares in force, none before the first ones are set
     * @param upstreams the upstreams of each version
     */
    static Optional<List<Share>> next(List<Share> current, Map<String, Upstreams> upstreams) {
        Map<String, Integer> eligible = eligible(upstreams);
        if (eligible.isEmpty() || (!current.isEmpty() && isBalanced(current, eligible))) {
            return Optional.empty();
        }
        List<Share> next = new ArrayList<>();
        // Versions keep their order, so that few keys change their version.
        for (Share share : current) {
            Integer active = eligible.remove(share.softwareVersion());
            if (active != null) {
                next.add(new Share(share.softwareVersion(), active));
            }
        }
        eligible.forEach((version, active) -> next.add(new Share(version, active)));
        return Optional.of(next);
    }

    /** Returns whether a version with a share has no upstream left that may receive its streams. */
    static boolean isUrgent(List<Share> current, Map<String, Upstreams> upstreams) {
        return current.stream().anyMatch(share -> !upstreams.containsKey(share.softwareVersion()));
    }

    /** The versions among which streams are divided, with their numbers of upstreams. */
    private static Map<String, Integer> eligible(Map<String, Upstreams> upstreams) {
        boolean anyResponsive = upstreams.values().stream().anyMatch(version -> version.responsive() > 0);
        boolean anyRedundant = upstreams.values().stream()
                .anyMatch(version ->
                        version.active() >= MINIMUM_UPSTREAMS && (version.responsive() > 0 || !anyResponsive));
        Map<String, Integer> eligible = new LinkedHashMap<>();
        upstreams.forEach((softwareVersion, version) -> {
            boolean responsive = version.responsive() > 0 || !anyResponsive;
            if (responsive && (version.active() >= MINIMUM_UPSTREAMS || !anyRedundant)) {
                eligible.put(softwareVersion, version.active());
            }
        });
        return eligible;
    }

    private static boolean isBalanced(List<Share> current, Map<String, Integer> eligible) {
        double totalWeight = current.stream().mapToInt(Share::weight).sum();
        double totalActive =
                eligible.values().stream().mapToInt(Integer::intValue).sum();
        for (Share share : current) {
            Integer active = eligible.get(share.softwareVersion());
            if (active == null || share.weight() / totalWeight >= MAXIMUM_IMBALANCE * active / totalActive) {
                return false;
            }
        }
        return true;
    }
}
