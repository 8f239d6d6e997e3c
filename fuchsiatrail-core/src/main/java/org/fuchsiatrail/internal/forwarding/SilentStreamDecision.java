package org.fuchsiatrail.internal.forwarding;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Decides what becomes of an attempt whose stream has begun and then had no event for a while.
 *
 * <p>Load pattern: a sound upstream falls silent for a second or so and goes on. A second run of each of its streams
 * fills the other upstreams, and a stream that is given up without a place elsewhere is lost. If several upstreams fall
 * silent at once, the path to them or this VM is the likelier cause, and a second run would wait there too.
 */
final class SilentStreamDecision {

    /**
     * How long a stream may be silent while most upstreams are, in milliseconds; callers disconnect after 2 s, and the
     * next attempt needs a part of that.
     */
    static final long COMMON_SILENCE_MILLIS = 1_500;

    /** The least number of upstreams whose silence at the same time has a common cause. */
    private static final int COMMON_SILENCE_UPSTREAMS = 2;

    private SilentStreamDecision() {}

    /** What to do now. */
    sealed interface Decision {}

    /** The attempt is given up, and the stream continues at another upstream. */
    record ContinueElsewhere() implements Decision {}

    /** The attempt is given up, and the stream continues through another router. */
    record ContinueThroughRouter() implements Decision {}

    /**
     * The attempt stays.
     *
     * @param reason why the stream does not continue elsewhere
     */
    record Keep(String reason) implements Decision {}

    /**
     * What is known of the attempt and of the upstreams of its service.
     *
     * @param silentMillis the time since the last event of the stream, in milliseconds
     * @param upstreamsStreaming upstreams that have begun streams of this router
     * @param upstreamsSilent those among them that leave all of these without events; 0 if the upstream of the attempt
     *     is known to have ended
     * @param upstreamsSilentAlike counts those that were silent for most of the time since the last event of the
     *     stream, also if they have gone on; 0 in the same case
     * @param sendable whether the request may be sent once more
     * @param budgetLeft whether the retry budget allows it
     * @param placeElsewhere returns whether another upstream that responds has a place
     * @param routerElsewhere returns whether another router may have a path to the upstreams
     */
    record Situation(
            long silentMillis,
            int upstreamsStreaming,
            int upstreamsSilent,
            IntSupplier upstreamsSilentAlike,
            boolean sendable,
            boolean budgetLeft,
            BooleanSupplier placeElsewhere,
            BooleanSupplier routerElsewhere) {

        private boolean isSilenceCommon() {
            return isCommon(upstreamsSilent);
        }

        private boolean wasSilenceCommon() {
            return isCommon(upstreamsSilentAlike.getAsInt());
        }

        private boolean isCommon(int upstreams) {
            return upstreams >= COMMON_SILENCE_UPSTREAMS && 2 * upstreams > upstreamsStreaming;
        }
    }

    static Decision decide(Situation situation) {
        if (!situation.sendable()) {
            return new Keep("the request may not be sent again");
        }
        if (!situation.budgetLeft()) {
            return new Keep("retry budget is spent");
        }
        if (situation.silentMillis() < COMMON_SILENCE_MILLIS) {
            if (situation.isSilenceCommon()) {
                return new Keep("most upstreams are silent");
            }
            // Upstreams that go on together are heard one after the other.
            if (situation.wasSilenceCommon()) {
                return new Keep("most upstreams were silent");
            }
        }
        if (situation.placeElsewhere().getAsBoolean()) {
            return new ContinueElsewhere();
        }
        boolean pathLost = situation.isSilenceCommon() && situation.upstreamsSilent() == situation.upstreamsStreaming();
        return pathLost && situation.routerElsewhere().getAsBoolean()
                ? new ContinueThroughRouter()
                : new Keep("no other upstream has a place");
    }
}
