package org.fuchsiatrail.internal.paths;

/**
 * Decides whether an upstream to which a connection timed out is dark, rather than that the path to it is lost.
 *
 * <p>Load pattern: a quarter of many engines falls silent at once, so that connections to several time out together,
 * while others are reached. At a router whose own link is full or cut, most connections time out. A silence of a second
 * without a connection that times out shows nothing: a sound upstream may be silent for as long.
 */
public final class DarkUpstreamDecision {

    /** For how long a connection timeout counts, in milliseconds. */
    public static final long RECENT_MILLIS = 2_000;

    /** How close connections begin that may time out for a common cause, in milliseconds; a connection timeout. */
    public static final long TOGETHER_MILLIS = 400;

    /** The least number of other upstreams that are reached where the own paths are sound, or all of fewer. */
    private static final int REACHED_WHEN_USABLE = 2;

    private DarkUpstreamDecision() {}

    /** What the timeout shows. */
    public sealed interface Decision {}

    /**
     * The upstream is dark.
     *
     * @param sinceMillis from when on it was seen to be
     */
    public record Dark(long sinceMillis) implements Decision {}

    /**
     * The upstream may be sound.
     *
     * @param reason why the timeout does not show it to be dark
     */
    public record Unsure(String reason) implements Decision {}

    /**
     * What a router knows of an upstream and of the others of its service.
     *
     * @param nowMillis the time, in milliseconds
     * @param lastAnswerAtMillis when the upstream last answered a request or probe, in milliseconds
     * @param timedOutSentAtMillis when the latest was sent for which no connection was established, in milliseconds
     * @param timedOutAtMillis when that connection timed out, in milliseconds
     * @param others the other upstreams of its service
     * @param othersReached the other upstreams that answered what was sent later
     * @param othersTimedOut the other upstreams to which connections that began at about the same time, or later, timed
     *     out, also if they have answered since
     */
    public record View(
            long nowMillis,
            long lastAnswerAtMillis,
            long timedOutSentAtMillis,
            long timedOutAtMillis,
            int others,
            int othersReached,
            int othersTimedOut) {}

    /**
     * Decides by the latest connection timeout.
     *
     * @param view what is known
     * @return the decision
     */
    public static Decision decide(View view) {
        if (view.nowMillis() - view.timedOutAtMillis() > RECENT_MILLIS) {
            return new Unsure("no connection timed out lately");
        }
        if (view.lastAnswerAtMillis() >= view.timedOutSentAtMillis()) {
            return new Unsure("it has answered since");
        }
        boolean fewReached = view.othersReached() < Math.min(REACHED_WHEN_USABLE, view.others());
        if (view.others() == 0 || fewReached || view.othersTimedOut() > view.othersReached()) {
            return new Unsure("the own paths may be lost");
        }
        return new Dark(view.timedOutSentAtMillis());
    }
}
