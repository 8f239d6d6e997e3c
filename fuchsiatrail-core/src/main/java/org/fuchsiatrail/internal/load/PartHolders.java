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
 * Names the engines that hold the shared parts of a session, without a message: rendezvous hashing over the engines, as
 * many as the session's share of the prompts that this router placed lately asks for.
 *
 * <p>Load pattern: many sessions in a fleet where a router hears only some of the cache reports, and one of them in a
 * third of the prompts. A cold session has one holder, a hot one as many as can serve it. As the engines are ranked,
 * routers that measured different loads agree on the first holder, and the smaller list is the beginning of the larger.
 */
public final class PartHolders {

    /** The number of latest prompts whose shared tokens measure the load. */
    private static final int MEASURED_PROMPTS = 128;

    /** The fewest prompts that measure it; before, each session has one holder. */
    private static final int MINIMUM_MEASURED_PROMPTS = 16;

    /** How many times the engines that a session's share of the load fills on average hold it, to choose the idler. */
    private static final double CHOICES = 2;

    private final Deque<Prompt> prompts = new ArrayDeque<>();
    private final Map<String, Long> tokensBySession = new HashMap<>();
    private long totalTokens;

    private record Prompt(String session, long tokens) {}

    /**
     * Records a prompt that was placed.
     *
     * @param session identifies its session
     * @param tokens its shared tokens
     */
    public void record(String session, long tokens) {
        add(new Prompt(session, tokens), 1);
        prompts.addLast(new Prompt(session, tokens));
        if (prompts.size() > MEASURED_PROMPTS) {
            add(prompts.removeFirst(), -1);
        }
    }

    private void add(Prompt prompt, int sign) {
        if (tokensBySession.merge(prompt.session(), sign * prompt.tokens(), Long::sum) <= 0) {
            tokensBySession.remove(prompt.session());
        }
        totalTokens += sign * prompt.tokens();
    }

    /**
     * Returns the engines that hold the shared parts of a session, the preferred one first.
     *
     * @param session identifies the session
     * @param tokens its shared tokens
     * @param engines the engines
     * @param name returns the name of an engine
     * @param <E> the type of an engine
     * @return the holders, at least one unless there are no engines
     */
    public <E> List<E> holders(String session, long tokens, Collection<E> engines, Function<E, String> name) {
        // A single prompt shows no load.
        long measuredTokens = Math.max(0, tokensBySession.getOrDefault(session, 0L) - tokens);
        int holders = prompts.size() < MINIMUM_MEASURED_PROMPTS
                ? 1
                : (int) Math.ceil(CHOICES * engines.size() * measuredTokens / Math.max(1, totalTokens));
        return Rendezvous.highest(session, engines, Math.clamp(holders, 1, Math.max(1, engines.size())), name);
    }
}
