package org.fuchsiatrail;

import java.util.Objects;

/**
 * Identifies one attempt to run a request on one upstream.
 *
 * @param value the text of the id, never blank
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

    /** Rejects a missing or blank value. */
    public AttemptId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("AttemptId must not be blank.");
        }
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
