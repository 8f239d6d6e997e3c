package org.fuchsiatrail.forwarding;

import java.util.List;

/**
 * Where the requests of one host and path prefix go, and on which terms.
 *
 * @param name the operators' name of the route
 * @param host the host that callers name
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param resumable whether a broken stream may go on at another upstream
 * @param open whether callers need no API key
 * @param prompted whether requests tell the parts of their prompt
 * @param maximumAttempts the most upstreams that may run one request
 * @param timeoutMillis the longest time a request may be kept waiting, in milliseconds
 * @param objectiveMillis the time to a timely answer, for streams to the first event, in milliseconds
 * @param priority the rank of its requests, 0 is the most urgent
 * @param targets the services that share its requests
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
     * A service's part of a route.
     *
     * @param service the name of the service
     * @param weight its part, relative to the other targets
     */
    public record Target(String service, int weight) {}

    /**
     * Tells whether a request may be sent again after it may have run.
     *
     * @return true for idempotent requests and for streams that may resume
     */
    public boolean retryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }
}
