package org.fuchsiatrail.internal.admission;

/**
 * Decides whether a router may take one more of the places of a service.
 *
 * <p>Load pattern: hundreds of routers see the same few free places in news that is several hundred milliseconds old.
 * If each of them takes one, most are turned away. Each router owns an equal share of all places, which it may use
 * whatever others do. It borrows beyond that only its part of the places that are known to be free, so that together
 * the routers hardly take them twice before they hear of each other. As balancers spread callers unevenly, that part is
 * an equal one or, at a router that has more requests than the mean, in proportion to them. While most slots are idle
 * it may use more than its share,
 * but not so much that a burst overfills the upstreams before the news of it arrives, and at least the slots of one
 * upstream.
 *
 * <p>Load pattern: less urgent requests fill the share of a router before a more urgent one arrives. Upstreams run the
 * more urgent first, so those that it overtakes take nothing of its share; it may use places beyond the useful queue.
 *
 * @param upstreams the upstreams that may be sent to
 * @param slots the slots of these upstreams
 * @param places the places of these upstreams: their slots and a useful queue
 * @param occupancy the requests that run or wait there, from all routers, as far as known
 * @param urgentPlaces the same with a longer queue, for requests that go before most of those that wait there
 * @param own the requests of this router that run or wait there
 * @param ownBefore those of them that are at least as urgent as the one that asks for a place
 * @param ownInNews those that this router had when the news of the others' requests were sent
 * @param routers the routers that share the places
 * @param borrowed the places that this router has borrowed within the age of the news
 */
public record PlaceShare(
        int upstreams,
        long slots,
        long places,
        long urgentPlaces,
        long occupancy,
        int own,
        int ownBefore,
        int ownInNews,
        int routers,
        int borrowed) {

    /** How many shares a router may use while most slots are idle; upstreams accept more than the useful places. */
    private static final double CALM_SHARES = 1.25;

    /**
     * Returns whether the router may use a place as most are free.
     *
     * @param ahead its requests that come before
     * @return whether most slots are idle, as far as known, and its own requests are not many
     */
    public boolean isCalm(int ahead) {
        double allowed = Math.max(slots / Math.max(1, upstreams), CALM_SHARES * places / routers);
        return 2 * occupancy < slots && own + ahead < allowed;
    }

    /**
     * Returns whether the router may use a place of its share.
     *
     * @param ahead its requests that come before
     * @return whether its own requests leave some of it
     */
    public boolean ownsPlace(int ahead) {
        return (ownBefore + (long) ahead) * routers < places && (own + (long) ahead) * routers < urgentPlaces;
    }

    /**
     * Returns whether the router may borrow a place of others.
     *
     * @param ahead its requests that come before
     * @return whether its part of the free places is not used up
     */
    public boolean mayBorrow(int ahead) {
        long free = Math.max(0, places - occupancy);
        double ownPart = Math.max(1.0 / routers, (double) ownInNews / Math.max(1, Math.max(ownInNews, occupancy)));
        return borrowed + 1L + ahead <= free * ownPart;
    }
}
