package org.fuchsiatrail.internal.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.UpstreamLoad;

/**
 * What refusals of a service's upstreams tell of their places.
 *
 * <p>Load pattern: at full upstreams a router that forgets a refusal at once asks again and again, and one that learns
 * each upstream's limit by itself asks each of them once: with hundreds of upstreams and routers that is most of the
 * sends. A refusal that names its load shows the limit of all upstreams of the service; any other one only tells that
 * this upstream takes nothing until its router's share of the next places is due.
 */
public final class UpstreamRefusals {

    /** The shortest time for which a refusal is believed, in milliseconds; half the time of a short call. */
    private static final long MINIMUM_MILLIS = 40;

    /** The weight of the latest refusal in the limit of a service. */
    private static final double SMOOTHING = 0.3;

    private final Map<UpstreamId, Refusal> refusals = new HashMap<>();
    private OptionalDouble placesPerSlot = OptionalDouble.empty();

    private record Refusal(long untilMillis, int occupancy) {}

    /**
     * A refusal of an upstream.
     *
     * @param upstream the upstream
     * @param slots the slots of the upstream
     * @param occupancy the requests that were believed to run or wait there
     * @param load the load that the refusal names, if it does
     * @param placeMillis how long a place of this router takes to come free there, in milliseconds, or 0 if unknown
     * @param latencyTargetMillis the latency target of the request; the refusal is not believed for longer
     * @param nowMillis the time
     */
    public record Observation(
            UpstreamId upstream,
            int slots,
            int occupancy,
            Optional<UpstreamLoad> load,
            double placeMillis,
            long latencyTargetMillis,
            long nowMillis) {}

    /**
     * Records a refusal.
     *
     * @param refusal the refusal
     */
    public void record(Observation refusal) {
        int occupancy =
                refusal.load().map(load -> load.running() + load.waiting()).orElse(Math.max(refusal.occupancy(), 1));
        boolean full = refusal.load().isPresent() && occupancy >= refusal.slots();
        if (full) {
            double seen = (double) occupancy / refusal.slots();
            double known = placesPerSlot.orElse(seen);
            placesPerSlot = OptionalDouble.of(known + SMOOTHING * (seen - known));
        }
        long longest = Math.max(MINIMUM_MILLIS, refusal.latencyTargetMillis());
        long millis = Math.clamp(Math.round(refusal.placeMillis()), MINIMUM_MILLIS, longest);
        refusals.values().removeIf(known -> known.untilMillis() <= refusal.nowMillis());
        refusals.put(refusal.upstream(), new Refusal(refusal.nowMillis() + millis, occupancy));
    }

    /**
     * Forgets the refusal of an upstream that has taken a request or completed one since.
     *
     * @param upstream the upstream
     */
    public void placeCameFree(UpstreamId upstream) {
        refusals.remove(upstream);
    }

    /**
     * Returns the places of an upstream.
     *
     * @param upstream the upstream
     * @param slots its slots
     * @param occupancy the requests that run or wait there, as far as known
     * @param nowMillis the time
     * @return the places
     */
    public UpstreamRoom room(UpstreamId upstream, int slots, int occupancy, long nowMillis) {
        Refusal refusal = refusals.get(upstream);
        boolean refusing = refusal != null && nowMillis < refusal.untilMillis();
        if (refusal != null && !refusing) {
            refusals.remove(upstream);
        }
        OptionalInt limit = placesPerSlot.isEmpty()
                ? OptionalInt.empty()
                : OptionalInt.of((int) Math.round(placesPerSlot.getAsDouble() * slots));
        return new UpstreamRoom(
                slots, refusing ? Math.max(occupancy, refusal.occupancy()) : occupancy, limit, refusing);
    }
}
