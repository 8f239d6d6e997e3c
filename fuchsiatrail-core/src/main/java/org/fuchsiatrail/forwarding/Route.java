package org.fuchsiatrail.forwarding;

import java.util.List;

/**
 * Maps the requests of one host and path prefix to services, with the rules for retries, deadlines and priority.
 *
 * @param name the name that operators gave the route
 * @param host the host that callers request
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether requests may be retried
 * @param resumable whether an interrupted stream may resume on another upstream
 * @param allowsAnonymous whether callers need no API key
 * @param describesPrompt whether requests list their prompt parts
 * @param maximumAttempts the maximum number of upstreams on which one request may run
 * @param timeoutMillis the maximum time a request may wait for its answer, in milliseconds
 * @param latencyTargetMillis the target time to the answer, or to the first event of a stream, in milliseconds
 * @param priority the priority of its requests; 0 is the most urgent
 * @param targets the services among which requests are split
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        boolean resumable,
        boolean allowsAnonymous,
        boolean describesPrompt,
        int maximumAttempts,
        long timeoutMillis,
        long latencyTargetMillis,
        int priority,
        List<Target> targets) {

    /**
     * A service that receives a share of a route's requests.
     *
     * @param service the name of the service
     * @param weight the service's share, relative to the other targets
     */
    public record Target(String service, int weight) {}

    /**
     * Returns whether requests of this route may go to a service.
     *
     * @param service the name of the service
     * @return true if the service is a target
     */
    public boolean leadsTo(String service) {
        return targets.stream().anyMatch(target -> target.service().equals(service));
    }

    /**
     * Returns whether a request may be retried after an attempt that may have run.
     *
     * @return true for idempotent requests and for resumable streams
     */
    public boolean retryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }
}
