package org.fuchsiatrail.forwarding;

import org.fuchsiatrail.EntryVm;

/** What an item of the platform's store says. */
public sealed interface StoreItemContent {

    /**
     * The operators' configuration.
     *
     * @param table the whole configuration
     */
    record Routing(RoutingTable table) implements StoreItemContent {}

    /**
     * The operators name new weights.
     *
     * @param model the model
     * @param version the version that its engines are to have
     */
    record TargetWeights(String model, long version) implements StoreItemContent {}

    /**
     * An upstream announces itself.
     *
     * @param entry what it says
     */
    record Upstream(UpstreamEntry entry) implements StoreItemContent {}

    /**
     * A router announces itself.
     *
     * @param vm the router
     */
    record Member(EntryVm vm) implements StoreItemContent {}

    /**
     * A router holds the right to give orders.
     *
     * @param holder its name
     */
    record OrderLeaseHolder(String holder) implements StoreItemContent {}

    /**
     * The item cannot be read; it says nothing.
     *
     * @param reason why
     */
    record Unreadable(String reason) implements StoreItemContent {}

    /** The item was removed. */
    record Removed() implements StoreItemContent {}
}
