package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.VersionShares;

/** The version shares in force, as the items of the store replica tell them. */
final class VersionShareRegistry {

    private final Map<String, Current> currentByService = new HashMap<>();

    /**
     * The shares in force for a service.
     *
     * @param shares the shares
     * @param revision the revision of their item
     */
    record Current(VersionShares shares, long revision) {}

    /** Applies a changed item. */
    void itemChanged(StoreItemContent previousContent, StoreItem item) {
        if (previousContent instanceof StoreItemContent.CurrentVersionShares previous) {
            currentByService.remove(previous.shares().service());
        }
        if (item.content() instanceof StoreItemContent.CurrentVersionShares current) {
            currentByService.put(current.shares().service(), new Current(current.shares(), item.revision()));
        }
    }

    Optional<Current> current(String service) {
        return Optional.ofNullable(currentByService.get(service));
    }

    /** The epoch of the shares in force, or the one before the first if there are none. */
    long epoch(String service) {
        return current(service).map(current -> current.shares().epoch()).orElse(VersionShares.BEFORE_FIRST_EPOCH);
    }
}
