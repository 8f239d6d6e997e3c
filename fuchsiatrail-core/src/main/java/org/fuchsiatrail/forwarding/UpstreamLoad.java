package org.fuchsiatrail.forwarding;

/**
 * The load that an upstream reports.
 *
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param slots the number of requests that the upstream can run concurrently
 */
public record UpstreamLoad(int running, int waiting, int slots) {}
