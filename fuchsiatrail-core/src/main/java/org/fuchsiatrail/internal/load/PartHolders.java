package org.fuchsiatrail.internal.load;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.fuchsiatrail.internal.membership.Rendezvous;

/**
 * Names the engines that hold the shared parts of prompts, without a message: rendezvous hashing over the engines in
 * the directory, as many for a part as its share of the prompts that this router placed lately asks for.
 *
 * <p>Load pattern: many sessions, each of which adds its own part to one of a few first parts, in a fleet where a
 * router hears only some of the cache reports. If the sessions of a first part were spread over all engines, each
 * engine would need memory for all first parts, and they would evict each other. The holders of a first part share its
 * sessions; a hot part gets more holders, a cold one few. As the engines are ranked, routers that measured different
 * loads name holders of which the smaller list is the beginning of the larger one.
 */
public final class PartHolders {

    /** The number of latest prompts whose shared tokens measure the load. */
    private static final int MEASURED_PROMPTS = 128;

    /** The fewest prompts that measure it; before, each session has one holder among all engines. */
    private static final int MINIMUM_MEASURED_PROMPTS = 16;

    /** How many times the engines that a part's share of the load fills on average hold it, to choose the idler one. */
    private static final double CHOICES = 2;

    /** The fewest holders of a first part, so that one of them may be busy. */
    private static final int MINIMUM_FIRST_HOLDERS = 2;

    private final Deque<Prompt> prompts = new ArrayDeque<>();
    private final Map<Long, Long> tokensByPart = new HashMap<>();
    private long totalTokens;

    private record Prompt(long firstPart, long sessionPart, long tokens) {}

    /**
     * Records a prompt that was placed.
     *
     * @param firstPart the key of its first shared part
     * @param sessionPart the key of its last shared part
     * @param tokens its shared tokens
     */
    public void record(long firstPart, long sessionPart, long tokens) {
        add(new Prompt(firstPart, sessionPart, tokens), 1);
        prompts.addLast(new Prompt(firstPart, sessionPart, tokens));
        if (prompts.size() > MEASURED_PROMPTS) {
            add(prompts.removeFirst(), -1);
        }
    }

    private void add(Prompt prompt, int sign) {
        addTokens(prompt.firstPart(), sign * prompt.tokens());
        if (prompt.sessionPart() != prompt.firstPart()) {
            addTokens(prompt.sessionPart(), sign * prompt.tokens());
        }
        totalTokens += sign * prompt.tokens();
    }

    private void addTokens(long part, long tokens) {
        if (tokensByPart.merge(part, tokens, Long::sum) <= 0) {
            tokensByPart.remove(part);
        }
    }

    /**
     * Returns the engines that hold the shared parts of a prompt, the preferred one first.
     *
     * @param firstPart the key of its first shared part
     * @param sessionPart the key of its last shared part
     * @param tokens its shared tokens
     * @param engines the engines
     * @param name returns the name of an engine
     * @param <E> the type of an engine
     * @return the holders
     */
    public <E> List<E> holders(
            long firstPart, long sessionPart, long tokens, Collection<E> engines, Function<E, String> name) {
        String session = Long.toHexString(sessionPart);
        if (prompts.size() < MINIMUM_MEASURED_PROMPTS) {
            return Rendezvous.highest(session, engines, 1, name);
        }
        // Powers of two, so that routers with slightly different measurements agree.
        int firstHolders = Integer.highestOneBit(
                Math.max(MINIMUM_FIRST_HOLDERS, 2 * holders(firstPart, tokens, engines.size()) - 1));
        List<E> first =
                Rendezvous.highest(Long.toHexString(firstPart), engines, Math.min(firstHolders, engines.size()), name);
        int sessionHolders = Math.clamp(holders(sessionPart, tokens, engines.size()), 1, Math.max(1, first.size()));
        return Rendezvous.highest(session, first, sessionHolders, name);
    }

    /** The engines that a part's share of the load asks for; a single prompt shows no load. */
    private int holders(long part, long tokens, int engines) {
        long measuredTokens = Math.max(0, tokensByPart.getOrDefault(part, 0L) - tokens);
        return totalTokens == 0 ? 0 : (int) Math.ceil(CHOICES * engines * measuredTokens / totalTokens);
    }
}
