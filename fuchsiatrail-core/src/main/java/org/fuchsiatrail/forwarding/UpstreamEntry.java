package org.fuchsiatrail.forwarding;

import java.util.Map;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.UpstreamId;

/**
 * The registration of an upstream in the platform's store.
 *
 * @param id the upstream's id; a restart may keep it, so only the id with the start time identifies an incarnation
 * @param startedAtMillis the Unix time of its start in milliseconds, or 0 when it is not reported
 * @param service the service that the upstream belongs to
 * @param address the upstream's IP address and port
 * @param failureDomain the upstream's failure domain
 * @param slots the number of requests that the upstream runs concurrently
 * @param draining whether the upstream is draining
 * @param softwareVersion the version of the upstream's software, or an empty string when it is not reported
 * @param weights the loaded version of the weights of each model
 */
public record UpstreamEntry(
        UpstreamId id,
        long startedAtMillis,
        String service,
        String address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        String softwareVersion,
        Map<String, Long> weights) {}
