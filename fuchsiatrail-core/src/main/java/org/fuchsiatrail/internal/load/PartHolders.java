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
 * Names the engines that hold the shared parts of a prompt, without a message: rendezvous hashing over the engines by
 * the first part, as many as its share of the prompts that this router placed lately asks for, and among these by the
 * session.
 *
 * <p>Load pattern: few first parts, some of them in a fifth of the prompts and most in hardly any, each followed by the
 * parts of many sessions, in a fleet where a router hears only some of the cache reports. Homes by the session alone
 * have each first part read by all engines. As the engines are ranked, routers that measured different loads name
 * nearly the same holders: the smaller list is the beginning of the larger one.
 */
public final class PartHolders {

    /** The number of latest prompts whose shared tokens measure the load. */
    private static final int MEASURED_PROMPTS = 128;

    /** The fewest prompts that show that a session needs several holders. */
    private static final int MINIMUM_MEASURED_PROMPTS = 16;

    /** How many times the engines that the share of a part fills on average hold it, so that these can be even. */
    private static final double HOLDERS_PER_FILLED_ENGINE = 1.75;

    private final Deque<Prompt> prompts = new ArrayDeque<>();
    private final Map<String, Long> tokensByKey = new HashMap<>();
    private long totalTokens;

    /**
     * The shared parts of a prompt.
     *
     * @param firstPart identifies the first part
     * @param session identifies all parts
     * @param tokens their length
     */
    public record Prompt(String firstPart, String session, long tokens) {}

    /**
     * The engines that hold the shared parts of a prompt.
     *
     * @param ofFirstPart those that hold the first part
     * @param ofSession those among them that hold all parts, the preferred one first
     * @param <E> the type of an engine
     */
    public record Holders<E>(List<E> ofFirstPart, List<E> ofSession) {}

    /**
     * Records a prompt that was placed.
     *
     * @param prompt its shared parts
     */
    public void record(Prompt prompt) {
        add(prompt, 1);
        prompts.addLast(prompt);
        if (prompts.size() > MEASURED_PROMPTS) {
            add(prompts.removeFirst(), -1);
        }
    }

    private void add(Prompt prompt, int sign) {
        long tokens = sign * prompt.tokens();
        addTokens(prompt.firstPart(), tokens);
        if (!prompt.session().equals(prompt.firstPart())) {
            addTokens(prompt.session(), tokens);
        }
        totalTokens += tokens;
    }

    private void addTokens(String key, long tokens) {
        if (tokensByKey.merge(key, tokens, Long::sum) <= 0) {
            tokensByKey.remove(key);
        }
    }

    /**
     * Returns the engines that hold the shared parts of a prompt that is to be placed.
     *
     * @param prompt the shared parts
     * @param engines the engines
     * @param name returns the name of an engine
     * @param <E> the type of an engine
     * @return the holders, at least one unless there are no engines
     */
    public <E> Holders<E> holders(Prompt prompt, Collection<E> engines, Function<E, String> name) {
        double firstPartTokens = tokensByKey.getOrDefault(prompt.firstPart(), 0L) + prompt.tokens();
        int firstPartHolders = count(firstPartTokens / Math.max(1, totalTokens + prompt.tokens()), engines);
        List<E> ofFirstPart =
                Rendezvous.ranked(prompt.firstPart(), engines, name).subList(0, firstPartHolders);
        // A single prompt shows no load.
        double sessionTokens = Math.max(0, tokensByKey.getOrDefault(prompt.session(), 0L) - prompt.tokens());
        int sessionHolders = prompts.size() < MINIMUM_MEASURED_PROMPTS
                ? Math.min(1, engines.size())
                : count(sessionTokens / Math.max(1, totalTokens), ofFirstPart.size(), engines.size());
        List<E> ofSession =
                Rendezvous.ranked(prompt.session(), ofFirstPart, name).subList(0, sessionHolders);
        return new Holders<>(ofFirstPart, ofSession);
    }

    private static <E> int count(double share, Collection<E> engines) {
        return count(share, engines.size(), engines.size());
    }

    private static int count(double share, int most, int engines) {
        return Math.min(most, Math.max(1, (int) Math.round(HOLDERS_PER_FILLED_ENGINE * engines * share)));
    }
}
