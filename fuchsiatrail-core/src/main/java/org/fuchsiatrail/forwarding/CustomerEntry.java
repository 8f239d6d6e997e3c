package org.fuchsiatrail.forwarding;

import java.util.List;
import java.util.OptionalInt;

import org.fuchsiatrail.CustomerId;

/**
 * A customer as the operators configure it.
 *
 * @param id its name, which upstreams are told
 * @param apiKeys the keys its callers may send
 * @param priority the rank of its requests, which goes before the route's
 * @param isolated whether it shares no cached prompt part with other customers
 */
public record CustomerEntry(CustomerId id, List<String> apiKeys, OptionalInt priority, boolean isolated) {}
