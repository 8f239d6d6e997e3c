package org.fuchsiatrail;

import java.util.Objects;

/**
 * A model and the version of its weights, written {@code name@weights}.
 *
 * @param name the name that callers request
 * @param weights the version of the weights
 */
public record ModelVersion(String name, String weights) implements Comparable<ModelVersion> {

    /** Rejects a missing name or weights version. */
    public ModelVersion {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(weights, "weights");
    }

    /**
     * Parses the written form.
     *
     * @param text {@code name@weights}
     * @return the model version
     * @throws IllegalArgumentException when the text has no {@code @} between two non-empty parts
     */
    public static ModelVersion parse(String text) {
        int separator = text.indexOf('@');
        if (separator <= 0 || separator == text.length() - 1) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not a model version.\n" + "Expected: name@weights, for example tutor@2026-11.");
        }
        return new ModelVersion(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public int compareTo(ModelVersion other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return name + "@" + weights;
    }
}
