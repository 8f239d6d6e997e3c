package org.fuchsiatrail.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.UpstreamId;

/**
 * The terms on which a request is sent to an upstream.
 *
 * @param upstream the upstream that may run it; any other refuses
 * @param address its IP address and port
 * @param remainingMillis the time the upstream has, in milliseconds
 * @param customer the customer, when the caller has one
 * @param weightsVersion the weights that may run it, for model engines
 * @param cacheSalt separates cached prompt parts that must not be shared, or an empty text
 * @param priority 0 is the most urgent and 9 the least
 * @param resumeAfter the id of the last event that the caller has, or an empty text
 * @param fetchFrom the address of an engine or store to fetch cached parts from
 * @param saveTo the address of the store that the engine is to send cached parts to
 */
public record Dispatch(
        UpstreamId upstream,
        String address,
        long remainingMillis,
        Optional<CustomerId> customer,
        OptionalLong weightsVersion,
        String cacheSalt,
        OptionalInt priority,
        String resumeAfter,
        Optional<String> fetchFrom,
        Optional<String> saveTo) {}
