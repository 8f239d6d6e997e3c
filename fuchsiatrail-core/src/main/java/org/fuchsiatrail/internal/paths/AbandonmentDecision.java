package org.fuchsiatrail.internal.paths;

/**
 * Decides whether an attempt that can't be continued elsewhere is ended while its caller can still ask again.
 *
 * <p>Load pattern: an engine goes dark with requests in flight that must not be repeated. Their callers would wait
 * until their deadlines, though each may ask again once. An engine that is only slow answers others meanwhile, and a
 * sound one may be silent for a second or so and go on with all its work, so neither shows that an attempt is in vain.
 */
public final class AbandonmentDecision {

    /** Time without an answer of an upstream after which it is asked for its state, in milliseconds; several steps. */
    public static final long PROBE_AFTER_MILLIS = 350;

    /** Interval between two looks at a silent attempt, in milliseconds. */
    private static final long LOOK_INTERVAL_MILLIS = 100;

    /** How long a sound upstream may be silent, in milliseconds. */
    private static final long SOUND_SILENCE_MILLIS = 1_000;

    /** How long an upstream that holds several requests leaves a probe unanswered when it is dark, in milliseconds. */
    private static final long PROBE_SILENCE_MILLIS = 1_500;

    private AbandonmentDecision() {}

    /** What to do now. */
    public sealed interface Decision {}

    /**
     * The attempt is cancelled and its request ended with an unknown outcome.
     *
     * @param reason what shows that the upstream does not answer
     */
    public record End(String reason) implements Decision {}

    /**
     * The attempt stays.
     *
     * @param probe whether the upstream is to be asked for its state
     * @param lookAtMillis when to look again, in milliseconds
     */
    public record Keep(boolean probe, long lookAtMillis) implements Decision {}

    /**
     * What is known of the attempt and of its upstream.
     *
     * @param nowMillis the time, in milliseconds
     * @param dark whether a connection to the upstream timed out since its last answer, while others were reached
     * @param darkElsewhere whether another router says so
     * @param lastAnswerAtMillis when the upstream last answered any request or probe, in milliseconds
     * @param oldestSentAtMillis when the oldest request that it has not ended was sent, in milliseconds
     * @param unanswered the requests in flight at it
     * @param probedAtMillis when the first probe without an answer was sent to it, in milliseconds
     * @param expectedAtMillis when the first event of the attempt was expected, in milliseconds
     * @param millisLeft the time until the deadline of the caller, in milliseconds
     * @param neededMillis the time that the caller needs to ask again with success, in milliseconds
     */
    public record View(
            long nowMillis,
            boolean dark,
            boolean darkElsewhere,
            long lastAnswerAtMillis,
            long oldestSentAtMillis,
            int unanswered,
            long probedAtMillis,
            long expectedAtMillis,
            long millisLeft,
            long neededMillis) {

        private long silentSinceMillis() {
            return Math.max(lastAnswerAtMillis, oldestSentAtMillis);
        }

        private long silentMillis() {
            return nowMillis - silentSinceMillis();
        }

        private boolean probeUnanswered() {
            return probedAtMillis >= silentSinceMillis() && nowMillis - probedAtMillis >= PROBE_SILENCE_MILLIS;
        }
    }

    /**
     * Decides about a silent attempt.
     *
     * @param view what is known
     * @return the decision
     */
    public static Decision decide(View view) {
        if (view.millisLeft() < view.neededMillis()) {
            return new Keep(false, Long.MAX_VALUE);
        }
        if (view.dark()) {
            return new End("no connection to its upstream is established");
        }
        boolean overdue = view.nowMillis() >= view.expectedAtMillis();
        if (overdue && view.darkElsewhere() && view.silentMillis() > SOUND_SILENCE_MILLIS) {
            return new End("its upstream is silent, and other routers do not reach it");
        }
        if (overdue && view.unanswered() > 1 && view.probeUnanswered()) {
            return new End("its upstream answers neither requests nor probes");
        }
        boolean silent = overdue && view.silentMillis() >= PROBE_AFTER_MILLIS;
        long earliestMillis = Math.max(view.expectedAtMillis(), view.silentSinceMillis() + PROBE_AFTER_MILLIS);
        return new Keep(silent, Math.max(view.nowMillis() + LOOK_INTERVAL_MILLIS, earliestMillis));
    }
}
