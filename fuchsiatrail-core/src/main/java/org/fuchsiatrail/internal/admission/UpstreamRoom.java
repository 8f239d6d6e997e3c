package org.fuchsiatrail.internal.admission;

import java.util.OptionalInt;

/**
 * The places of one upstream, as a router believes them to be.
 *
 * <p>Load pattern: callers ask for more than the upstreams take. An upstream queues some requests beyond its slots and
 * turns away the rest; each such refusal costs a send of the retry budget.
 *
 * @param slots the requests that it runs at once
 * @param occupancy the requests that run or wait there, as far as known
 * @param limit the occupancy at which upstreams of its kind were seen to turn requests away, if that happened
 * @param refusing whether its latest refusal still tells that it has no place
 */
public record UpstreamRoom(int slots, int occupancy, OptionalInt limit, boolean refusing) {

    /**
     * The longest useful queue, as a multiple of the slots: it lasts for the time of a whole request, so that no slot
     * is idle before other routers' news arrives. Requests beyond that wait where the most urgent one can go first.
     */
    private static final int USEFUL_QUEUE_PER_SLOT = 1;

    /** The same for requests that the upstream runs before those of the useful queue. */
    private static final int URGENT_QUEUE_PER_SLOT = 2;

    /**
     * Returns how many requests routers should have there together.
     *
     * @return the places
     */
    public int places() {
        return Math.min(slots * (1 + USEFUL_QUEUE_PER_SLOT), acceptedRequests());
    }

    /**
     * Returns how many requests routers should have there together if they send one more that goes before most others.
     *
     * @return the places
     */
    public int urgentPlaces() {
        return Math.min(slots * (1 + URGENT_QUEUE_PER_SLOT), acceptedRequests());
    }

    /**
     * Returns whether it is believed to accept a request. That is more than the useful places, which are counted over
     * all upstreams: with news that are old, routers that avoid each upstream above the mean crowd at the others.
     *
     * @return whether it may receive a request
     */
    public boolean hasPlace() {
        return !refusing && occupancy < acceptedRequests();
    }

    private int acceptedRequests() {
        if (limit.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        // Other routers' sends of the moment are not known yet: keeps the usual deviation of a count free.
        int deviation = (int) Math.ceil(Math.sqrt(limit.getAsInt()));
        return Math.max(1, limit.getAsInt() - deviation);
    }
}
