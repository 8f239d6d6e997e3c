package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/** Adds and subtracts the work that routers have in flight on upstreams. */
final class WorkSums {

    private WorkSums() {}

    /** Returns the work of this router on each upstream. */
    static List<PeerMessage.UpstreamWork> ownWork(Collection<UpstreamState> upstreams) {
        List<PeerMessage.UpstreamWork> work = new ArrayList<>();
        for (UpstreamState upstream : upstreams) {
            if (!upstream.inFlight.isEmpty()) {
                work.add(upstream.ownWork());
            }
        }
        return work;
    }

    /** Returns the summed work of this router and of all routers that report through it, by the upstream's key. */
    static Map<Integer, PeerMessage.WorkChange> subtreeWork(Collection<UpstreamState> upstreams, long nowMillis) {
        return sums(upstreams, WorkSource.Router.class::isInstance, nowMillis);
    }

    /** Returns the summed work of all routers, as far as known, by the upstream's key. */
    static Map<Integer, PeerMessage.WorkChange> fleetWork(Collection<UpstreamState> upstreams, long nowMillis) {
        return sums(upstreams, source -> true, nowMillis);
    }

    private static Map<Integer, PeerMessage.WorkChange> sums(
            Collection<UpstreamState> upstreams, Predicate<WorkSource> sources, long nowMillis) {
        Map<Integer, PeerMessage.WorkChange> sums = new HashMap<>();
        for (UpstreamState upstream : upstreams) {
            PeerMessage.UpstreamWork sum = upstream.ownWork();
            for (PeerMessage.UpstreamWork peer : upstream.peerWork(sources, nowMillis)) {
                sum = add(sum, peer, 1);
            }
            if (sum.running() > 0) {
                sums.put(
                        upstream.key(),
                        new PeerMessage.WorkChange(
                                upstream.key(),
                                sum.running(),
                                sum.bound(),
                                sum.promptTokens(),
                                sum.shortPromptTokens(),
                                sum.memoryTokens()));
            }
        }
        return sums;
    }

    /**
     * Subtracts a part from a sum. Values do not go below zero, which can occur because both were counted at different
     * times.
     */
    static List<PeerMessage.UpstreamWork> subtract(
            List<PeerMessage.UpstreamWork> sum, List<PeerMessage.UpstreamWork> part) {
        Map<UpstreamId, PeerMessage.UpstreamWork> partByUpstream = new HashMap<>();
        part.forEach(work -> partByUpstream.put(work.upstream(), work));
        List<PeerMessage.UpstreamWork> remaining = new ArrayList<>();
        for (PeerMessage.UpstreamWork total : sum) {
            PeerMessage.UpstreamWork subtrahend = partByUpstream.get(total.upstream());
            remaining.add(subtrahend == null ? total : add(total, subtrahend, -1));
        }
        return remaining;
    }

    /** Adds work to other work on the same upstream, or subtracts it with the sign -1; no value goes below zero. */
    static PeerMessage.UpstreamWork add(PeerMessage.UpstreamWork total, PeerMessage.UpstreamWork work, int sign) {
        return new PeerMessage.UpstreamWork(
                total.upstream(),
                Math.max(0, total.running() + sign * work.running()),
                Math.max(0, total.bound() + sign * work.bound()),
                Math.max(0, total.promptTokens() + sign * work.promptTokens()),
                Math.max(0, total.shortPromptTokens() + sign * work.shortPromptTokens()),
                Math.max(0, total.memoryTokens() + sign * work.memoryTokens()));
    }
}
