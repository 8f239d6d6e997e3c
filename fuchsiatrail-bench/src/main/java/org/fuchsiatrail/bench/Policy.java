package org.fuchsiatrail.bench;

import java.util.Comparator;
import java.util.List;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.membership.Rendezvous;
import org.fuchsiatrail.standins.model.EngineModel;

/** A way to choose an engine that the router's is compared with; it sees the engines as they truly are. */
sealed interface Policy {

    /** Returns the engine for a prompt. */
    UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long now);

    /** Returns its name in tables. */
    String label();

    /** One after another. */
    final class RoundRobin implements Policy {
        private int next;

        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long now) {
            next++;
            return engines.get(next % engines.size()).traits().id();
        }

        @Override
        public String label() {
            return "round robin";
        }
    }

    /** The least waiting tokens, as the lagging reports say, then the fewest streams. */
    final class LeastLoaded implements Policy {
        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long now) {
            return engines.stream()
                    .min(Comparator.<EngineModel>comparingLong(
                                    engine -> engine.load(now).queuedTokens())
                            .thenComparing(engine -> engine.load(now).runningStreams()))
                    .orElseThrow()
                    .traits()
                    .id();
        }

        @Override
        public String label() {
            return "least loaded";
        }
    }

    /** By hash of the prefix's first checkpoint, passing engines with more than 1.25 times the mean of streams. */
    final class PrefixHash implements Policy {
        private static final double BOUND = 1.25;

        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long now) {
            double mean = engines.stream()
                    .mapToInt(engine -> engine.requests().size())
                    .average()
                    .orElse(0);
            List<EngineModel> ranked = Rendezvous.ranked(
                    "hash/" + chain.anchor(),
                    engines,
                    engine -> engine.traits().id().value());
            for (EngineModel engine : ranked) {
                if (engine.requests().size() <= Math.max(1, BOUND * mean)) {
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

    /** Sees true caches and queues, and takes the least time to the first token plus weighted recomputation. */
    final class Oracle implements Policy {
        private final double recomputeWeight;

        Oracle(double recomputeWeight) {
            this.recomputeWeight = recomputeWeight;
        }

        @Override
        public UpstreamId choose(List<EngineModel> engines, PrefixChain chain, long now) {
            return engines.stream()
                    .min(Comparator.comparingDouble(engine -> cost(engine, chain, now)))
                    .orElseThrow()
                    .traits()
                    .id();
        }

        private double cost(EngineModel engine, PrefixChain chain, long now) {
            int uncached = chain.tokens() - engine.trueCachedTokens(chain);
            return engine.trueQueuedTokens(now) + uncached * (1 + recomputeWeight);
        }

        @Override
        public String label() {
            return "oracle";
        }
    }

    /** Returns the salt under which a baseline caches a call's prompt: the same separation as the router's. */
    static String salt(String customer, ChatCall call) {
        return call.scope().isEmpty() ? customer : call.scope();
    }
}
