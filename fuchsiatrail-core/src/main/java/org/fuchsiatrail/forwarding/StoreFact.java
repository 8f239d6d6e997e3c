package org.fuchsiatrail.forwarding;

import org.fuchsiatrail.EntryVm;

/** What an item of the platform's store says. */
public sealed interface StoreFact {

    /**
     * The operators' configuration.
     *
     * @param table the whole configuration
     */
    record Routing(RoutingTable table) implements StoreFact {}

    /**
     * The operators name new weights.
     *
     * @param model the model
     * @param version the version that its engines are to have
     */
    record NamedWeights(String model, long version) implements StoreFact {}

    /**
     * An upstream announces itself.
     *
     * @param entry what it says
     */
    record Upstream(UpstreamEntry entry) implements StoreFact {}

    /**
     * A router announces itself.
     *
     * @param vm the router
     */
    record Member(EntryVm vm) implements StoreFact {}

    /**
     * A router holds the right to give orders.
     *
     * @param holder its name
     */
    record OrderHolder(String holder) implements StoreFact {}

    /**
     * The item cannot be read; it says nothing.
     *
     * @param reason why
     */
    record Unreadable(String reason) implements StoreFact {}

    /** The item was removed. */
    record Removed() implements StoreFact {}
}
