package org.fuchsiatrail.internal.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.PeerMessage;

/**
 * Gives refused requests a time to come back that their customer's part of the capacity can keep.
 *
 * <p>Each reservation is set behind the customer's earlier ones. A request that comes back in time is let in before new
 * ones.
 */
public final class RetryReservations {

    /** The longest time to come back, in milliseconds. */
    private static final long LONGEST_MILLIS = 60_000;

    /** The shortest time to come back, in milliseconds. */
    private static final long SHORTEST_MILLIS = 250;

    /** How early or late a request with a reservation may come, in milliseconds. */
    private static final long TOLERANCE_MILLIS = 15_000;

    /** The most reservations told to peers in one heartbeat; the oldest go first, others are not told. */
    private static final int MOST_IN_A_HEARTBEAT = 200;

    private static final int CAPACITY = 20_000;

    private final Map<Long, Long> reserved = new LinkedHashMap<>();
    private final List<PeerMessage.RetryReservation> fresh = new ArrayList<>();
    private final Map<CustomerId, Long> lastReservation = new HashMap<>();

    /**
     * Reserves a time.
     *
     * @param customer whose request it is
     * @param fingerprint the request
     * @param now the time
     * @param drainMillis the time until the customer's waiting work is done
     * @param serviceMillis the time that the request itself takes of the customer's part
     * @return milliseconds from now, the same for a request that was refused before and comes too early
     */
    public long reserve(CustomerId customer, String fingerprint, long now, long drainMillis, long serviceMillis) {
        long key = key(fingerprint);
        Long known = reserved.get(key);
        if (known != null && known > now) {
            return known - now;
        }
        long behind = lastReservation.getOrDefault(customer, 0L) + serviceMillis;
        long at = Math.max(now + Math.max(drainMillis, SHORTEST_MILLIS), behind);
        at = Math.min(at, now + LONGEST_MILLIS);
        lastReservation.put(customer, at);
        fresh.add(new PeerMessage.RetryReservation(key, at));
        remember(key, at);
        return at - now;
    }

    private void remember(long key, long at) {
        reserved.put(key, at);
        while (reserved.size() > CAPACITY) {
            reserved.remove(reserved.keySet().iterator().next());
        }
    }

    private static long key(String fingerprint) {
        return Hashing.xxh3_64().hashCharsToLong(fingerprint);
    }

    /**
     * Returns the reservations made since the last call.
     *
     * @return reservations for the peers, at most what one heartbeat carries
     */
    public List<PeerMessage.RetryReservation> takeNew() {
        int count = Math.min(fresh.size(), MOST_IN_A_HEARTBEAT);
        List<PeerMessage.RetryReservation> taken = List.copyOf(fresh.subList(0, count));
        fresh.clear();
        return taken;
    }

    /**
     * Takes a reservation that a peer made.
     *
     * @param reservation the reservation
     */
    public void receive(PeerMessage.RetryReservation reservation) {
        remember(reservation.fingerprint(), reservation.atMillis());
    }

    /**
     * Tells whether a request comes when it was told to, and ends the reservation.
     *
     * @param fingerprint the request
     * @param now the time
     * @return true when it is to be let in before new requests
     */
    public boolean redeem(String fingerprint, long now) {
        long key = key(fingerprint);
        Long at = reserved.get(key);
        if (at == null || now < at) {
            return false;
        }
        reserved.remove(key);
        return now <= at + TOLERANCE_MILLIS;
    }

    /**
     * Returns until when a customer's capacity is reserved.
     *
     * @param customer the customer
     * @param now the time
     * @return milliseconds from now, 0 when nothing is reserved
     */
    public long reservedMillis(CustomerId customer, long now) {
        return Math.max(0, lastReservation.getOrDefault(customer, 0L) - now);
    }
}
