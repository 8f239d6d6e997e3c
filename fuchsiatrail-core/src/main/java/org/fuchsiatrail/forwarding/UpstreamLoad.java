package org.fuchsiatrail.forwarding;

import java.util.OptionalInt;

/**
 * The load that an upstream reports.
 *
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param slots the number of requests that the upstream can run concurrently
 * @param pacePercent how long work takes on the upstream's machine at this moment, in percent of the usual time; empty
 *     when the upstream does not tell it
 */
public record UpstreamLoad(int running, int waiting, int slots, OptionalInt pacePercent) {

    /**
     * Creates the load of an upstream that does not tell how long work takes.
     *
     * @param running the number of running requests
     * @param waiting the number of queued requests
     * @param slots the number of requests that the upstream can run concurrently
     */
    public UpstreamLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalInt.empty());
    }
}
