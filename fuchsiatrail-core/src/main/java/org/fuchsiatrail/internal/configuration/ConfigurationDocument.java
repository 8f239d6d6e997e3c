package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.Intent;

/**
 * The configuration in the form kept in the platform's store.
 *
 * @param revision the revision, starting at 1; 0 when there is no configuration
 * @param operations the plan ids of the last confirmations, newest last; after a lost response they show whether a
 *     confirmation took effect
 * @param intent the content
 */
public record ConfigurationDocument(long revision, List<String> operations, Intent intent) {

    /** The maximum number of plan ids kept. */
    private static final int MAXIMUM_OPERATIONS = 64;

    static ConfigurationDocument none() {
        return new ConfigurationDocument(0, List.of(), Intent.empty());
    }

    ConfigurationDocument next(String planId, Intent newIntent) {
        List<String> planIds = new ArrayList<>(operations);
        planIds.add(planId);
        while (planIds.size() > MAXIMUM_OPERATIONS) {
            planIds.remove(0);
        }
        return new ConfigurationDocument(revision + 1, List.copyOf(planIds), newIntent);
    }
}
