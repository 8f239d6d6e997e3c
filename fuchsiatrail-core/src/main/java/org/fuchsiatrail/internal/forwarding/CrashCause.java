package org.fuchsiatrail.internal.forwarding;

import java.util.OptionalLong;

/**
 * A prompt part that may be the cause of crashes which no quarantined part explains.
 *
 * @param part the key of the part
 * @param crashes the number of these crashes
 * @param completedAtMillis when a request with the part last completed, in milliseconds, if known
 * @param depth the position of the part in prompts
 */
record CrashCause(long part, int crashes, OptionalLong completedAtMillis, int depth) {

    /**
     * Compares how likely the parts are the cause: a part that did not complete, explains more crashes or completed
     * longer ago is more likely.
     *
     * @return a positive number if this part is more likely, 0 if both are equally likely
     */
    int compareLikelihood(CrashCause other) {
        if (hasCompleted() != other.hasCompleted()) {
            return hasCompleted() ? -1 : 1;
        }
        return crashes != other.crashes
                ? Integer.compare(crashes, other.crashes)
                : Long.compare(other.completedAtMillis.orElse(0), completedAtMillis.orElse(0));
    }

    boolean hasCompleted() {
        return completedAtMillis.isPresent();
    }
}
