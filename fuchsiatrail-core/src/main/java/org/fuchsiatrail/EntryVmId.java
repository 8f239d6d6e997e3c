package org.fuchsiatrail;

import java.util.Objects;

/**
 * Identifies an entry VM, the machine on which one router process runs.
 *
 * @param value the text of the id, never blank
 */
public record EntryVmId(String value) implements Comparable<EntryVmId> {

    /** Rejects a missing or blank value. */
    public EntryVmId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("EntryVmId must not be blank.");
        }
    }

    @Override
    public int compareTo(EntryVmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
