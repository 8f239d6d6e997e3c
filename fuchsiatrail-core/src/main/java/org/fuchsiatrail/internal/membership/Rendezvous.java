package org.fuchsiatrail.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.dynatrace.hash4j.hashing.Hashing;

/** Highest-random-weight hashing: every router ranks the same nodes the same way, and few keys move with a node. */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Weighs a node for a key.
     *
     * @param key the key
     * @param node the name of the node
     * @return a hash; the highest wins
     */
    public static long weight(String key, String node) {
        return Hashing.xxh3_64().hashCharsToLong(key + '\u0000' + node);
    }

    /**
     * Picks the first node for a key.
     *
     * @param key the key
     * @param nodes the nodes
     * @param name the name of a node
     * @param <N> the type of a node
     * @return the node with the highest weight, or nothing when there are no nodes
     */
    public static <N> Optional<N> first(String key, Collection<N> nodes, Function<N, String> name) {
        N best = null;
        long bestWeight = Long.MIN_VALUE;
        for (N node : nodes) {
            long weight = weight(key, name.apply(node));
            if (best == null || weight > bestWeight) {
                best = node;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Ranks nodes for a key.
     *
     * @param key the key
     * @param nodes the nodes
     * @param name the name of a node
     * @param <N> the type of a node
     * @return the nodes, highest weight first
     */
    public static <N> List<N> ranked(String key, Collection<N> nodes, Function<N, String> name) {
        List<N> ranked = new ArrayList<>(nodes);
        ranked.sort(Comparator.<N>comparingLong(node -> weight(key, name.apply(node)))
                .reversed());
        return ranked;
    }
}
