package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/** Adds and subtracts what routers have in flight on upstreams. */
final class WorkSums {

    private WorkSums() {}

    /** What this router has in flight itself. */
    static List<PeerMessage.UpstreamWork> own(Collection<UpstreamState> upstreams) {
        List<PeerMessage.UpstreamWork> work = new ArrayList<>();
        for (UpstreamState upstream : upstreams) {
            if (!upstream.inFlight.isEmpty()) {
                work.add(upstream.ownWork());
            }
        }
        return work;
    }

    /** What this router and the routers that tell it directly have in flight together. */
    static List<PeerMessage.UpstreamWork> near(Collection<UpstreamState> upstreams, long nowMillis) {
        List<PeerMessage.UpstreamWork> work = new ArrayList<>();
        for (UpstreamState upstream : upstreams) {
            PeerMessage.UpstreamWork sum = upstream.ownWork();
            for (PeerMessage.UpstreamWork peer : upstream.directPeerWork(nowMillis)) {
                sum = plus(sum, peer, 1);
            }
            if (sum.running() > 0) {
                work.add(sum);
            }
        }
        return work;
    }

    /** Takes a part out of a sum; what would be negative, as the two were counted at other times, is zero. */
    static List<PeerMessage.UpstreamWork> without(
            List<PeerMessage.UpstreamWork> sum, List<PeerMessage.UpstreamWork> part) {
        Map<UpstreamId, PeerMessage.UpstreamWork> parts = new HashMap<>();
        part.forEach(each -> parts.put(each.upstream(), each));
        List<PeerMessage.UpstreamWork> rest = new ArrayList<>();
        for (PeerMessage.UpstreamWork each : sum) {
            PeerMessage.UpstreamWork taken = parts.get(each.upstream());
            rest.add(taken == null ? each : plus(each, taken, -1));
        }
        return rest;
    }

    private static PeerMessage.UpstreamWork plus(
            PeerMessage.UpstreamWork one, PeerMessage.UpstreamWork other, int sign) {
        return new PeerMessage.UpstreamWork(
                one.upstream(),
                Math.max(0, one.running() + sign * other.running()),
                Math.max(0, one.bound() + sign * other.bound()),
                Math.max(0, one.promptTokens() + sign * other.promptTokens()),
                Math.max(0, one.shortPromptTokens() + sign * other.shortPromptTokens()),
                Math.max(0, one.memoryTokens() + sign * other.memoryTokens()));
    }
}
