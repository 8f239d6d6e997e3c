package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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

    /** Returns the summed work of this router and of the routers that report to it directly, on each upstream. */
    static List<PeerMessage.UpstreamWork> domainWork(Collection<UpstreamState> upstreams, long nowMillis) {
        List<PeerMessage.UpstreamWork> work = new ArrayList<>();
        for (UpstreamState upstream : upstreams) {
            PeerMessage.UpstreamWork sum = upstream.ownWork();
            for (PeerMessage.UpstreamWork peer : upstream.directPeerWork(nowMillis)) {
                sum = add(sum, peer, 1);
            }
            if (sum.running() > 0) {
                work.add(sum);
            }
        }
        return work;
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

    private static PeerMessage.UpstreamWork add(
            PeerMessage.UpstreamWork total, PeerMessage.UpstreamWork work, int sign) {
        return new PeerMessage.UpstreamWork(
                total.upstream(),
                Math.max(0, total.running() + sign * work.running()),
                Math.max(0, total.bound() + sign * work.bound()),
                Math.max(0, total.promptTokens() + sign * work.promptTokens()),
                Math.max(0, total.shortPromptTokens() + sign * work.shortPromptTokens()),
                Math.max(0, total.memoryTokens() + sign * work.memoryTokens()));
    }
}
