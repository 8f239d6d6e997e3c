package org.fuchsiatrail.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.fuchsiatrail.CustomerId;

/**
 * A customer as the operators configure it.
 *
 * @param id the customer's id, which is sent to upstreams
 * @param apiKeys the API keys that identify the customer's callers
 * @param priority the priority of the customer's requests, which overrides the route's
 * @param isolated whether the customer shares no cached prompt parts with other customers
 * @param limit what all requests of the customer together may use, or empty if that is not limited
 */
public record CustomerEntry(
        CustomerId id, List<String> apiKeys, OptionalInt priority, boolean isolated, Optional<CustomerLimit> limit) {

    /**
     * Creates a customer without a limit.
     *
     * @param id the customer's id
     * @param apiKeys the API keys that identify the customer's callers
     * @param priority the priority of the customer's requests
     * @param isolated whether the customer shares no cached prompt parts
     */
    public CustomerEntry(CustomerId id, List<String> apiKeys, OptionalInt priority, boolean isolated) {
        this(id, apiKeys, priority, isolated, Optional.empty());
    }
}
