package org.fuchsiatrail.bench;

import java.util.Comparator;
import java.util.List;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.membership.Rendezvous;
import org.fuchsiatrail.standins.model.EngineModel;

/** An engine selection policy that the router's is compared with; it reads the engine models directly. */
sealed interface Baseline {

    /** Selects the engine for a prompt. */
    UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long nowMillis);

    /** Returns the policy's name in tables and plots. */
    String label();

    /** Uses the engines in turn. */
    final class RoundRobin implements Baseline {
        private int nextIndex;

        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long nowMillis) {
            nextIndex++;
            return engines.get(nextIndex % engines.size()).traits().id();
        }

        @Override
        public String label() {
            return "round robin";
        }
    }

    /** Selects the engine with the fewest queued tokens in the delayed load reports, then with the fewest streams. */
    final class LeastLoaded implements Baseline {
        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long nowMillis) {
            return engines.stream()
                    .min(Comparator.<EngineModel>comparingLong(
                                    engine -> engine.load(nowMillis).queuedTokens())
                            .thenComparing(engine -> engine.load(nowMillis).runningStreams()))
                    .orElseThrow()
                    .traits()
                    .id();
        }

        @Override
        public String label() {
            return "least loaded";
        }
    }

    /**
     * Maps the prefix's first checkpoint to an engine by rendezvous hashing; skips engines with more than 1.25 times
     * the mean number of streams.
     */
    final class PrefixHash implements Baseline {
        private static final double MAXIMUM_LOAD_FACTOR = 1.25;

        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long nowMillis) {
            double meanStreams = engines.stream()
                    .mapToInt(engine -> engine.requests().size())
                    .average()
                    .orElse(0);
            List<EngineModel> ranked = Rendezvous.ranked(
                    "hash/" + chain.anchor(),
                    engines,
                    engine -> engine.traits().id().value());
            for (EngineModel engine : ranked) {
                if (engine.requests().size() <= Math.max(1, MAXIMUM_LOAD_FACTOR * meanStreams)) {
                    return engine.traits().id();
                }
            }
            return ranked.get(0).traits().id();
        }

        @Override
        public String label() {
            return "prefix hash, bounded";
        }
    }

    /** Reads the actual caches and queues; minimizes the time to the first token plus weighted recomputed tokens. */
    final class Oracle implements Baseline {
        private final double recomputeWeight;

        Oracle(double recomputeWeight) {
            this.recomputeWeight = recomputeWeight;
        }

        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long nowMillis) {
            return engines.stream()
                    .min(Comparator.comparingDouble(engine -> cost(engine, chain, nowMillis)))
                    .orElseThrow()
                    .traits()
                    .id();
        }

        private double cost(EngineModel engine, PrefixChain chain, long nowMillis) {
            int uncached = chain.tokens() - engine.actualCachedTokens(chain);
            return engine.actualQueuedTokens(nowMillis) + uncached * (1 + recomputeWeight);
        }

        @Override
        public String label() {
            return "oracle";
        }
    }

    /** Returns the cache salt of a call's prompt; it separates customers and scopes as the router does. */
    static String salt(String customer, ChatCall call) {
        return call.scope().isEmpty() ? customer : call.scope();
    }
}
