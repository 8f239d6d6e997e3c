package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;

/**
 * How long ago the target versions of each model's weights were set, as far as this router knows.
 *
 * <p>A router that was suspended learns of a target late, and its clock may have stopped meanwhile. The age that it
 * measures itself is therefore a lower bound. Routers report these ages to each other, and the highest one counts. A
 * router that was suspended or has just started assumes the highest possible age until a router that was not suspended
 * reports the real one.
 */
final class TargetWeightsHistory {

    /** The age that a router assumes, at its start, of the targets that it finds in the store, in milliseconds. */
    private static final long INITIAL_AGE_MILLIS = 5_000;

    /** How much longer than replaced weights are used their replacement is reported, in milliseconds. */
    private static final long REPORT_MARGIN_MILLIS = 4_000;

    /** The difference between two ages that the time between routers and their intervals explains, in milliseconds. */
    private static final long AGE_TOLERANCE_MILLIS = 500;

    /** The most target versions of a model that are kept; older ones were replaced long ago. */
    private static final int MAXIMUM_VERSIONS = 8;

    private final ForwardingContext context;
    private final Map<String, TreeMap<Long, Target>> targetsByModel = new HashMap<>();

    /** What is known of when a target version was set. */
    private static final class Target {
        /** The latest time at which it can have been set, in milliseconds. */
        private long setAtMillis;
        /** The earliest time at which it may have been set, in milliseconds. */
        private long earliestSetAtMillis;
        /** Whether a router that ran all the while has observed when it was set. */
        private boolean exact;

        private long assumedSetAtMillis() {
            return exact ? setAtMillis : Math.min(setAtMillis, earliestSetAtMillis);
        }
    }

    TargetWeightsHistory(ForwardingContext context) {
        this.context = context;
    }

    /**
     * Records a target version that arrived from the store or from a peer.
     *
     * @param beforeFirstRead whether this router has not read all items of the store yet
     * @return its assumed age in milliseconds
     */
    long add(String model, long version, boolean beforeFirstRead) {
        Target target = findOrCreate(model, version);
        long earliestMillis = beforeFirstRead
                ? earliestAtStartMillis()
                : context.suspensions().earliestChangeMillis();
        target.earliestSetAtMillis = Math.max(target.earliestSetAtMillis, earliestMillis);
        target.exact |= !beforeFirstRead && !context.suspensions().isCatchingUp();
        return context.now() - target.assumedSetAtMillis();
    }

    /** Returns a target; one that is new may be as old as those that this router finds at its start. */
    private Target findOrCreate(String model, long version) {
        TreeMap<Long, Target> targets = targetsByModel.computeIfAbsent(model, key -> new TreeMap<>());
        Target target = targets.get(version);
        if (target == null) {
            target = new Target();
            target.setAtMillis = context.now();
            target.earliestSetAtMillis = earliestAtStartMillis();
            targets.put(version, target);
            removeOldest(targets);
        }
        return target;
    }

    private long earliestAtStartMillis() {
        return context.now() - context.uptimeMillis() - INITIAL_AGE_MILLIS;
    }

    private static void removeOldest(TreeMap<Long, Target> targets) {
        if (targets.size() > MAXIMUM_VERSIONS) {
            targets.pollFirstEntry();
        }
    }

    /**
     * Records that the process may have been suspended while its clock stood still, in which time all known targets
     * have aged as well.
     */
    void clockStopped(long millis) {
        for (TreeMap<Long, Target> targets : targetsByModel.values()) {
            for (Target target : targets.values()) {
                target.earliestSetAtMillis = target.assumedSetAtMillis() - millis;
                target.exact = false;
            }
        }
    }

    /** Applies a report of a peer. */
    void receive(EntryVmId from, PeerMessage.TargetAge report) {
        Target target = findOrCreate(report.model(), report.version());
        long setAtMillis = context.now() - Math.max(0, report.ageMillis());
        if (setAtMillis < target.assumedSetAtMillis() - AGE_TOLERANCE_MILLIS) {
            logCorrection(from, report, context.now() - target.assumedSetAtMillis());
        }
        target.setAtMillis = Math.min(target.setAtMillis, setAtMillis);
        target.exact |= report.exact() && !context.suspensions().readsQueuedMessages();
    }

    private void logCorrection(EntryVmId from, PeerMessage.TargetAge report, long knownAgeMillis) {
        context.count("weights.ages-corrected");
        context.log(
                "weights",
                "Target weights were set earlier than this router had noticed.",
                "model",
                report.model(),
                "version",
                report.version(),
                "peer",
                from,
                "knownAgeMillis",
                knownAgeMillis,
                "ageMillis",
                report.ageMillis());
    }

    /** The models of which target versions are known. */
    Set<String> models() {
        return targetsByModel.keySet();
    }

    /** The ages of the targets of each model that has a recent one, for peers. */
    List<PeerMessage.TargetAge> reports() {
        List<PeerMessage.TargetAge> reports = new ArrayList<>();
        targetsByModel.forEach((model, targets) -> {
            boolean recent = targets.values().stream().anyMatch(this::isRecent);
            if (recent) {
                targets.forEach((version, target) -> reports.add(
                        new PeerMessage.TargetAge(model, version, context.now() - target.setAtMillis, target.exact)));
            }
        });
        return reports;
    }

    private boolean isRecent(Target target) {
        return context.now() - target.setAtMillis
                < context.settings().replacedWeightsGraceMillis() + REPORT_MARGIN_MILLIS;
    }

    /** Returns how long ago a version was first replaced by a newer target, in milliseconds, or 0 if it was not. */
    long millisSinceReplaced(String model, long version) {
        TreeMap<Long, Target> targets = targetsByModel.get(model);
        Map.Entry<Long, Target> newer = targets == null ? null : targets.higherEntry(version);
        return newer == null ? 0 : context.now() - newer.getValue().assumedSetAtMillis();
    }
}
