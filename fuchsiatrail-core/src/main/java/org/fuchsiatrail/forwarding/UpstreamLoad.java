package org.fuchsiatrail.forwarding;

/**
 * What an upstream says of its load.
 *
 * @param running requests it works on
 * @param waiting requests in its queue
 * @param slots requests it can work on at once
 */
public record UpstreamLoad(int running, int waiting, int slots) {}
