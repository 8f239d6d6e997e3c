package org.fuchsiatrail;

import java.util.Objects;

/**
 * Identifies an upstream: an engine or a service.
 *
 * @param value the text of the id, never blank
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    /** Rejects a missing or blank value. */
    public UpstreamId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("UpstreamId must not be blank.");
        }
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
