package org.fuchsiatrail.internal.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** What one router has observed of the places of one service, and the views of it that decisions take. */
public final class ServiceAdmission {

    private final UpstreamRefusals refusals = new UpstreamRefusals();
    private final CompletionRate rate = new CompletionRate();
    private final ReturnTimes returns = new ReturnTimes();
    private final Map<String, StandingQueue> queueByRoute = new HashMap<>();
    private final Map<Object, WaitingOrder.Waiting> waiting = new HashMap<>();
    private final ArrayDeque<Long> borrowedAtMillis = new ArrayDeque<>();
    private final ArrayDeque<OwnRequests> ownRequests = new ArrayDeque<>();

    /** The requests of this router that upstreams had at a time. */
    private record OwnRequests(long atMillis, int count) {}

    /**
     * The work of the upstreams that may receive requests.
     *
     * @param rooms their places
     * @param own the requests of this router that they have
     * @param ownBefore those of them that are at least as urgent as the request that asks for a place
     * @param routers the number of routers
     * @param newsAgeMillis how old the news of other routers' requests may be, in milliseconds
     */
    public record Fleet(List<UpstreamRoom> rooms, int own, int ownBefore, int routers, long newsAgeMillis) {

        private long places() {
            return rooms.stream().mapToLong(UpstreamRoom::places).sum();
        }

        private long urgentPlaces() {
            return rooms.stream().mapToLong(UpstreamRoom::urgentPlaces).sum();
        }

        private long slots() {
            return rooms.stream().mapToLong(UpstreamRoom::slots).sum();
        }

        private int occupancy() {
            return rooms.stream().mapToInt(UpstreamRoom::occupancy).sum();
        }
    }

    /**
     * Returns what refusals tell of the upstreams.
     *
     * @return the refusals of this service's upstreams
     */
    public UpstreamRefusals refusals() {
        return refusals;
    }

    /**
     * Returns how fast requests are completed.
     *
     * @return the rate
     */
    public CompletionRate rate() {
        return rate;
    }

    /**
     * Returns the standing queue of a route.
     *
     * @param route the name of the route
     * @return the queue
     */
    public StandingQueue queue(String route) {
        return queueByRoute.computeIfAbsent(route, name -> new StandingQueue());
    }

    /**
     * Returns how many waiting requests go before a request.
     *
     * @param key identifies the request
     * @param request the request
     * @return their number
     */
    public int ahead(Object key, WaitingOrder.Waiting request) {
        if (waiting.isEmpty()) {
            return 0;
        }
        List<WaitingOrder.Waiting> others = new ArrayList<>();
        waiting.forEach((otherKey, other) -> {
            if (!otherKey.equals(key)) {
                others.add(other);
            }
        });
        return WaitingOrder.ahead(request, others);
    }

    /**
     * Records that a request waits for a place.
     *
     * @param key identifies the request
     * @param request the request
     * @return whether it did not wait before
     */
    public boolean beginWait(Object key, WaitingOrder.Waiting request) {
        return waiting.put(key, request) == null;
    }

    /**
     * Records that a request waits no more.
     *
     * @param key identifies the request
     */
    public void endWait(Object key) {
        waiting.remove(key);
    }

    /**
     * Returns whether this router may use one more place.
     *
     * @param fleet the upstreams
     * @param ahead its waiting requests that go before
     * @param nowMillis the time
     * @return whether its share, or its part of the free places, allows it
     */
    public boolean mayUsePlace(Fleet fleet, int ahead, long nowMillis) {
        ownRequests.add(new OwnRequests(nowMillis, fleet.own()));
        PlaceShare share = share(fleet, nowMillis);
        return share.isCalm(ahead) || share.ownsPlace(ahead) || share.mayBorrow(ahead);
    }

    /**
     * Records a request that is sent, which borrows a place if it is beyond this router's share.
     *
     * @param fleet the upstreams before the send
     * @param nowMillis the time
     */
    public void recordSend(Fleet fleet, long nowMillis) {
        PlaceShare share = share(fleet, nowMillis);
        if (!share.isCalm(0) && !share.ownsPlace(0)) {
            borrowedAtMillis.add(nowMillis);
        }
    }

    private PlaceShare share(Fleet fleet, long nowMillis) {
        while (!borrowedAtMillis.isEmpty() && borrowedAtMillis.peek() <= nowMillis - fleet.newsAgeMillis()) {
            borrowedAtMillis.poll();
        }
        return new PlaceShare(
                fleet.rooms().size(),
                fleet.slots(),
                fleet.places(),
                fleet.urgentPlaces(),
                fleet.occupancy(),
                fleet.own(),
                fleet.ownBefore(),
                ownInNews(nowMillis - fleet.newsAgeMillis()),
                Math.max(1, fleet.routers()),
                borrowedAtMillis.size());
    }

    private int ownInNews(long sentAtMillis) {
        int count = 0;
        while (!ownRequests.isEmpty() && ownRequests.peek().atMillis() <= sentAtMillis) {
            count = ownRequests.poll().count();
        }
        if (count > 0) {
            ownRequests.addFirst(new OwnRequests(sentAtMillis, count));
        }
        return count;
    }

    /**
     * Returns how long a place of this router takes to come free.
     *
     * @param fleet the upstreams
     * @return the time in milliseconds, or 0 if unknown
     */
    public double placeMillis(Fleet fleet) {
        return rate.placeMillis(fleet.occupancy(), fleet.routers());
    }

    /**
     * Books the return of a refused caller.
     *
     * @param placeMillis how long a place of this router takes to come free, in milliseconds, or 0 if unknown
     * @param leastMillis the least time until a place is expected
     * @param remainingMillis the time until the caller's deadline
     * @param nowMillis the time
     * @param random spreads callers
     * @return the return time, in milliseconds from now
     */
    public long bookReturn(
            double placeMillis, long leastMillis, long remainingMillis, long nowMillis, RandomGenerator random) {
        return returns.book(placeMillis, leastMillis, remainingMillis, nowMillis, random);
    }
}
