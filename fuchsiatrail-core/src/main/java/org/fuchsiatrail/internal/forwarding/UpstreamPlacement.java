package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Places a request on the upstream that is expected to answer first.
 *
 * <p>Load pattern for model engines: sessions of long shared prompts at a load where reading every prompt whole would
 * exceed the engines. Each session has a home engine that all routers agree on, so that its shared parts are read once;
 * a request leaves its home only when waiting there costs more than reading the parts again elsewhere.
 *
 * <p>Load pattern for plain services: short calls on few slots; the least busy upstream of the own failure domain.
 */
final class UpstreamPlacement {

    /** Prompt tokens that an engine reads in a millisecond, from the users' sheets. */
    static final double READ_TOKENS_PER_MILLI = 38;

    /** Cost of another failure domain in milliseconds: a round trip of 1 to 3 ms, and the price of its bytes. */
    private static final double FAR_MILLIS = 4;

    /** Cost of weights that newer ones have replaced, in milliseconds; outweighs reading a long prompt. */
    private static final double OLD_WEIGHTS_MILLIS = 250;

    /** Cost of an engine whose slots are all taken, in milliseconds; a short generation. */
    private static final double FULL_MILLIS = 300;

    /** Cost of each slot taken, as a part of one call's work, in milliseconds for all slots. */
    private static final double BUSY_MILLIS = 20;

    /** Expected work of a call to a plain service, in milliseconds, from the users' sheets. */
    private static final double CALL_MILLIS = 80;

    /** How long a told load counts, in milliseconds. */
    private static final long LOAD_FRESH_MILLIS = 400;

    /** Differences of cost below this are left to chance, in milliseconds, so that routers do not move in step. */
    private static final double TIE_MILLIS = 2;

    private final FailureDomain own;
    private final SplittableRandom random;

    /**
     * Where a request goes.
     *
     * @param upstream the upstream
     * @param chain the prompt as that upstream's cache finds it
     * @param predictedMillis the expected time to the first event or the answer
     * @param uncachedTokens prompt tokens that are expected to be read
     */
    record Choice(ForwardedUpstream upstream, PromptChain chain, double predictedMillis, long uncachedTokens) {}

    /** Tells how a request's prompt is found in the cache of engines with certain weights. */
    @FunctionalInterface
    interface Chains {
        PromptChain forWeights(long version);
    }

    UpstreamPlacement(FailureDomain own, SplittableRandom random) {
        this.own = own;
        this.random = random;
    }

    /** Places a call to a plain service. */
    Optional<Choice> placeCall(List<ForwardedUpstream> candidates, long nowMillis) {
        Choice best = null;
        double bestCost = Double.MAX_VALUE;
        for (ForwardedUpstream upstream : candidates) {
            int slots = Math.max(1, upstream.entry.slots());
            int busy = busy(upstream, nowMillis);
            double queue = Math.max(0, busy + 1 - slots) * CALL_MILLIS / slots;
            double cost = queue + far(upstream) + BUSY_MILLIS * busy / slots + random.nextDouble(TIE_MILLIS);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(upstream, new PromptChain(List.of()), queue + CALL_MILLIS, 0);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Places a request with a prompt. */
    Optional<Choice> placePrompt(
            ForwardedCall call, List<ForwardedUpstream> candidates, Chains chains, long nowMillis) {
        long newest = candidates.stream()
                .mapToLong(upstream -> version(upstream, call))
                .max()
                .orElse(0);
        Optional<ForwardedUpstream> home = home(call, candidates, chains, newest);
        Choice best = null;
        double bestCost = Double.MAX_VALUE;
        for (ForwardedUpstream upstream : candidates) {
            long version = version(upstream, call);
            PromptChain chain = chains.forWeights(version);
            boolean isHome = home.isPresent() && home.get() == upstream;
            long cached = Math.max(
                    upstream.cache.cachedTokens(chain.links()), isHome && version == newest ? chain.sharedTokens() : 0);
            long uncached = Math.max(0, Math.max(chain.tokens(), call.inputTokens()) - cached);
            double wait = upstream.pendingPromptTokens(nowMillis) / READ_TOKENS_PER_MILLI;
            int slots = Math.max(1, upstream.entry.slots());
            double full = busy(upstream, nowMillis) >= slots ? FULL_MILLIS : 0;
            double predicted = wait + full + uncached / READ_TOKENS_PER_MILLI;
            double cost = predicted
                    + far(upstream)
                    + (version < newest ? OLD_WEIGHTS_MILLIS : 0)
                    + BUSY_MILLIS * busy(upstream, nowMillis) / slots
                    + random.nextDouble(TIE_MILLIS);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(upstream, chain, predicted, uncached);
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<ForwardedUpstream> home(
            ForwardedCall call, List<ForwardedUpstream> candidates, Chains chains, long newest) {
        PromptChain chain = chains.forWeights(newest);
        if (chain.sessionKey().isEmpty()) {
            return Optional.empty();
        }
        List<ForwardedUpstream> current = new ArrayList<>();
        for (ForwardedUpstream upstream : candidates) {
            if (version(upstream, call) == newest) {
                current.add(upstream);
            }
        }
        return Rendezvous.first(
                chain.sessionKey(), current, upstream -> upstream.id().value());
    }

    private static long version(ForwardedUpstream upstream, ForwardedCall call) {
        return upstream.weights.getOrDefault(call.model(), 0L);
    }

    private double far(ForwardedUpstream upstream) {
        return upstream.domain().equals(own) ? 0 : FAR_MILLIS;
    }

    private static int busy(ForwardedUpstream upstream, long nowMillis) {
        int seen = upstream.running(nowMillis);
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= nowMillis - LOAD_FRESH_MILLIS;
        return fresh ? Math.max(seen, upstream.load.running() + upstream.load.waiting()) : seen;
    }
}
