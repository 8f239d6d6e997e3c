package org.fuchsiatrail;

import java.util.Objects;

/**
 * Identifies a failure domain: entry VMs and upstreams that can be cut off from the rest together.
 *
 * @param value the text of the id, never blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Rejects a missing or blank value. */
    public FailureDomain {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("FailureDomain must not be blank.");
        }
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
