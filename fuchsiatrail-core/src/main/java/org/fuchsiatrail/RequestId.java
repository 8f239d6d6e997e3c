package org.fuchsiatrail;

import java.util.Objects;

/**
 * Identifies one request of one caller, unique across all routers and restarts.
 *
 * @param value the text of the id, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Rejects a missing or blank value. */
    public RequestId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("RequestId must not be blank.");
        }
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
