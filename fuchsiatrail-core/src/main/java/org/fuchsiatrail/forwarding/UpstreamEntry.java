package org.fuchsiatrail.forwarding;

import java.util.Map;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.UpstreamId;

/**
 * An upstream as it announces itself in the store.
 *
 * @param id the id of this life of the upstream, unless it starts again under the same id
 * @param bornMillis the Unix time of its start in milliseconds, or 0 when it does not tell
 * @param service the service it belongs to
 * @param address its IP address and port
 * @param failureDomain where it stands
 * @param slots requests that it works on at once
 * @param draining whether it is about to leave
 * @param weights the version of the weights of each model it has loaded
 */
public record UpstreamEntry(
        UpstreamId id,
        long startedAtMillis,
        String service,
        String address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        Map<String, Long> weights) {}
