package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.Intent;

/**
 * The configuration as the platform's store keeps it.
 *
 * @param revision its number, from 1
 * @param operations the plan ids of the last confirmations, newest last, by which a lost answer is settled
 * @param intent its content
 */
public record ConfigurationDocument(long revision, List<String> operations, Intent intent) {

    /** How many plan ids are kept. */
    private static final int OPERATIONS_KEPT = 64;

    static ConfigurationDocument none() {
        return new ConfigurationDocument(0, List.of(), Intent.empty());
    }

    ConfigurationDocument next(String planId, Intent wanted) {
        List<String> kept = new ArrayList<>(operations);
        kept.add(planId);
        while (kept.size() > OPERATIONS_KEPT) {
            kept.remove(0);
        }
        return new ConfigurationDocument(revision + 1, List.copyOf(kept), wanted);
    }
}
