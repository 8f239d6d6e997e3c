package org.fuchsiatrail.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.UpstreamId;

/**
 * The parameters of one attempt to run a request on an upstream.
 *
 * @param upstream the upstream that may run the request; any other upstream refuses it
 * @param address the upstream's IP address and port
 * @param remainingMillis the time left until the request's deadline, in milliseconds
 * @param customer the customer, when the caller belongs to one
 * @param weightsVersion the version of the weights that may run the request, for model engines
 * @param cacheSalt the salt that separates cached prompt parts that must not be shared, or an empty string
 * @param priority the priority, from 0 (most urgent) to 9
 * @param resumeAfterEventId the id of the last event that the caller received, or an empty string
 * @param resumedAttemptId the caller's attempt that brought the first event of the stream to resume, or an empty string
 * @param relay what another router is allowed to which the request goes and which selects the upstream; empty for an
 *     upstream
 * @param fetchFrom the address of an engine or KV cache store to fetch cached prompt parts from
 * @param saveTo the address of the KV cache store to which the engine should save cached prompt parts
 */
public record Dispatch(
        UpstreamId upstream,
        String address,
        long remainingMillis,
        Optional<CustomerId> customer,
        OptionalLong weightsVersion,
        String cacheSalt,
        OptionalInt priority,
        String resumeAfterEventId,
        String resumedAttemptId,
        Optional<RelayAllowance> relay,
        Optional<String> fetchFrom,
        Optional<String> saveTo) {

    /**
     * Returns whether the request goes to another router.
     *
     * @return true if another router selects the upstream
     */
    public boolean toRouter() {
        return relay.isPresent();
    }
}
