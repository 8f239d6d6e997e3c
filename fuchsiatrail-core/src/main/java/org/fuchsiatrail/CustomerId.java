package org.fuchsiatrail;

import java.util.Objects;

/**
 * Identifies a customer: the tenant to which requests, cache entries and limits belong.
 *
 * @param value the text of the id, never blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

    /** Rejects a missing or blank value. */
    public CustomerId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("CustomerId must not be blank.");
        }
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
