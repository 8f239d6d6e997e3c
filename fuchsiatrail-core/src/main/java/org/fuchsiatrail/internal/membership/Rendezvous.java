package org.fuchsiatrail.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.dynatrace.hash4j.hashing.Hashing;

/** Rendezvous hashing: routers rank equal sets of nodes identically, and few keys move when a node changes. */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Computes the weight of a node for a key.
     *
     * @param key the key
     * @param node the name of the node
     * @return the weight; the node with the highest weight is selected
     */
    public static long weight(String key, String node) {
        return Hashing.xxh3_64().hashCharsToLong(key + '\u0000' + node);
    }

    /**
     * Returns the node with the highest weight for a key.
     *
     * @param key the key
     * @param nodes the nodes
     * @param name returns the name of a node
     * @param <N> the type of a node
     * @return the node, or empty when there are no nodes
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
     * Ranks the nodes for a key.
     *
     * @param key the key
     * @param nodes the nodes
     * @param name returns the name of a node
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
