package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.paths.AbandonmentDecision;
import org.fuchsiatrail.internal.paths.DarkUpstreamDecision;

/**
 * Watches connections of this router that time out, and tells of upstreams that these show to be dark. That is done in
 * fleets with relays, whose routers are too many for each to find each upstream by itself.
 */
final class DarkSights {

    /** Interval at which a connection timeout is judged again that did not show enough, in milliseconds. */
    private static final long JUDGEMENT_INTERVAL_MILLIS = 100;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final UpstreamTable upstreams;
    /** The upstreams to which connections timed out lately, as long as that shows nothing. */
    private final Set<UpstreamId> unjudged = new HashSet<>();
    /** When each upstream was first probed since it last answered, in milliseconds. */
    private final Map<UpstreamId, Long> probedAtMillis = new HashMap<>();

    private Consumer<UpstreamState> listener = upstream -> {};
    private long nextJudgementAtMillis;

    DarkSights(ForwardingContext context, StoreReplica replica, UpstreamTable upstreams) {
        this.context = context;
        this.replica = replica;
        this.upstreams = upstreams;
    }

    /** Sets the listener for upstreams that this router sees to be dark. */
    void onDark(Consumer<UpstreamState> darkListener) {
        listener = darkListener;
    }

    /** Returns whether routers tell each other of dark upstreams, and end attempts there. */
    boolean areTold() {
        return areTold(context, replica);
    }

    static boolean areTold(ForwardingContext context, StoreReplica replica) {
        return context.settings().tellsDarkUpstreams() && GossipTopology.usesRelays(replica.memberCount());
    }

    /** Judges an upstream to which a connection of an attempt or a probe timed out. */
    void connectionTimedOut(UpstreamState upstream) {
        if (!areTold() || judge(upstream)) {
            return;
        }
        unjudged.add(upstream.id());
        context.wakeAt(context.now() + JUDGEMENT_INTERVAL_MILLIS);
    }

    /** Judges earlier connection timeouts by what was reached since. */
    void run() {
        if (unjudged.isEmpty() || context.now() < nextJudgementAtMillis) {
            return;
        }
        nextJudgementAtMillis = context.now() + JUDGEMENT_INTERVAL_MILLIS;
        for (UpstreamId id : List.copyOf(unjudged)) {
            boolean open = upstreams
                    .find(id)
                    .filter(upstream -> !hasAnsweredSince(upstream) && !isExpired(upstream))
                    .filter(upstream -> !judge(upstream))
                    .isPresent();
            if (!open) {
                unjudged.remove(id);
            }
        }
        if (!unjudged.isEmpty()) {
            context.wakeAt(nextJudgementAtMillis);
        }
    }

    private static boolean hasAnsweredSince(UpstreamState upstream) {
        return upstream.lastAnswerAtMillis >= upstream.connections.timedOutSentAtMillis();
    }

    private boolean isExpired(UpstreamState upstream) {
        return context.now() - upstream.connections.timedOutAtMillis() > DarkUpstreamDecision.RECENT_MILLIS;
    }

    private boolean judge(UpstreamState upstream) {
        if (!isSeenDark(upstream)) {
            return false;
        }
        unjudged.remove(upstream.id());
        if (upstreams.dark().observe(upstream.incarnationId(), context.now())) {
            context.count("upstreams.dark");
            context.log(
                    "upstreams", "Upstream is dark.", "upstream", upstream.id(), "inFlight", upstream.inFlight.size());
        }
        if (!upstream.isInBackoff(context.now())) {
            upstreams.recordFailure(upstream, "no connection is established");
        }
        listener.accept(upstream);
        return true;
    }

    /** Returns whether a connection to an upstream timed out since its last answer, while others were reached. */
    boolean isSeenDark(UpstreamState upstream) {
        if (hasAnsweredSince(upstream) || isExpired(upstream)) {
            return false;
        }
        return DarkUpstreamDecision.decide(view(upstream)) instanceof DarkUpstreamDecision.Dark;
    }

    private DarkUpstreamDecision.View view(UpstreamState upstream) {
        long sentAtMillis = upstream.connections.timedOutSentAtMillis();
        // A path that was usable when the upstream was found to be dark need not be shown anew by each probe.
        long usableSinceMillis =
                upstreams.isDark(upstream) ? sentAtMillis - DarkUpstreamDecision.RECENT_MILLIS : sentAtMillis;
        int others = 0;
        int reached = 0;
        int timedOut = 0;
        for (UpstreamState other : upstreams.activeUpstreams(upstream.entry.service())) {
            if (other != upstream) {
                others++;
                // One that answered since shows that the cause was common, as when a path fails for a moment.
                boolean together =
                        other.connections.timedOutSentAtMillis() >= sentAtMillis - DarkUpstreamDecision.TOGETHER_MILLIS;
                reached += other.connections.reachedSentAtMillis() >= usableSinceMillis ? 1 : 0;
                timedOut += together && !upstreams.isDarkElsewhere(other) ? 1 : 0;
            }
        }
        return new DarkUpstreamDecision.View(
                context.now(),
                upstream.lastAnswerAtMillis,
                sentAtMillis,
                upstream.connections.timedOutAtMillis(),
                others,
                reached,
                timedOut);
    }

    /** When an attempt that is sent now, and that no other one replaces, is first looked at, in milliseconds. */
    long firstLookAtMillis(PendingCall pending) {
        return !areTold() || pending.relayed || !pending.mayBeAskedAgain()
                ? Long.MAX_VALUE
                : context.now()
                        + Math.round(pending.placement.predictedMillis())
                        + AbandonmentDecision.PROBE_AFTER_MILLIS;
    }

    /** Probes the upstream of a silent attempt, and records since when probes are unanswered. */
    void probe(UpstreamState upstream) {
        probedAtMillis.keySet().removeIf(id -> upstreams.find(id).isEmpty());
        if (upstreams.probeSilent(upstream)) {
            probedAtMillis.merge(
                    upstream.id(),
                    context.now(),
                    (earlier, now) -> upstream.lastAnswerAtMillis >= earlier ? now : earlier);
        }
    }

    /** Records that a probe was answered, or its connection reset: no probe before is without an answer. */
    void probeEnded(UpstreamState upstream) {
        probedAtMillis.remove(upstream.id());
    }

    /** Returns what is known of a silent attempt that no other one may replace. */
    AbandonmentDecision.View view(PendingCall pending) {
        UpstreamState upstream = pending.upstream;
        long sentAtMillis = upstream.sentAtMillis(pending.attempt, context.now());
        long expectedAtMillis = pending.state == PendingCall.State.DELIVERING
                ? pending.lastEventAtMillis
                : sentAtMillis + Math.round(pending.placement.predictedMillis());
        return new AbandonmentDecision.View(
                context.now(),
                isSeenDark(upstream),
                upstreams.isDarkElsewhere(upstream),
                upstream.lastAnswerAtMillis,
                upstream.inFlight.isEmpty() ? sentAtMillis : upstream.oldestSentAtMillis(),
                upstream.inFlight.size(),
                probedAtMillis.getOrDefault(upstream.id(), Long.MIN_VALUE / 2),
                expectedAtMillis,
                pending.deadlineAtMillis - context.now(),
                pending.route.latencyTargetMillis());
    }
}
