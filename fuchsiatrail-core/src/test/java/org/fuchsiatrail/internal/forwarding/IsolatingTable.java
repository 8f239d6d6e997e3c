package org.fuchsiatrail.internal.forwarding;

import java.util.List;

import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.RoutingTable;

/** The configuration of {@link ForwardingFixture#table} with its second customer isolated. */
final class IsolatingTable {

    private IsolatingTable() {}

    static RoutingTable of(long version) {
        RoutingTable table = ForwardingFixture.table(version);
        CustomerEntry isolated = table.customers().getLast();
        return new RoutingTable(
                version,
                table.routes(),
                table.services(),
                List.of(
                        table.customers().getFirst(),
                        new CustomerEntry(isolated.id(), isolated.apiKeys(), isolated.priority(), true)),
                table.limits());
    }
}
