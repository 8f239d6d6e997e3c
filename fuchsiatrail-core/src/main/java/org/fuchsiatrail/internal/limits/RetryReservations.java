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
 * Assigns refused requests a retry time at which their customer's portion of the capacity can serve them.
 *
 * <p>Each reservation is placed after the customer's earlier ones. A request that returns within the redemption window
 * after its retry time is admitted before new requests.
 */
public final class RetryReservations {

    /** The maximum time until a retry, in milliseconds. */
    private static final long MAXIMUM_DELAY_MILLIS = 60_000;

    /** The minimum time until a retry, in milliseconds. */
    private static final long MINIMUM_DELAY_MILLIS = 250;

    /** How long after its retry time a request can still use its reservation, in milliseconds. */
    private static final long REDEMPTION_WINDOW_MILLIS = 15_000;

    /** The maximum number of reservations in one heartbeat; when there are more, the newest are not sent. */
    private static final int MAXIMUM_PER_HEARTBEAT = 200;

    private static final int MAXIMUM_RESERVATIONS = 20_000;

    private final Map<Long, Long> retryTimes = new LinkedHashMap<>();
    private final List<PeerMessage.RetryReservation> unsent = new ArrayList<>();
    private final Map<CustomerId, Long> lastRetryTimes = new HashMap<>();

    /**
     * Reserves a retry time.
     *
     * @param customer the customer that sent the request
     * @param fingerprint the request's fingerprint
     * @param now the current time in milliseconds
     * @param drainMillis the time until the customer's waiting work is done
     * @param serviceMillis the time that the request itself takes of the customer's portion of the capacity
     * @return the time until the retry in milliseconds; a request that returns before its retry time keeps that time
     */
    public long reserve(CustomerId customer, String fingerprint, long now, long drainMillis, long serviceMillis) {
        long key = key(fingerprint);
        Long reservedAt = retryTimes.get(key);
        if (reservedAt != null && reservedAt > now) {
            return reservedAt - now;
        }
        long earliest = lastRetryTimes.getOrDefault(customer, 0L) + serviceMillis;
        long retryAt = Math.max(now + Math.max(drainMillis, MINIMUM_DELAY_MILLIS), earliest);
        retryAt = Math.min(retryAt, now + MAXIMUM_DELAY_MILLIS);
        lastRetryTimes.put(customer, retryAt);
        unsent.add(new PeerMessage.RetryReservation(key, retryAt));
        store(key, retryAt);
        return retryAt - now;
    }

    private void store(long key, long retryAt) {
        retryTimes.put(key, retryAt);
        while (retryTimes.size() > MAXIMUM_RESERVATIONS) {
            retryTimes.remove(retryTimes.keySet().iterator().next());
        }
    }

    private static long key(String fingerprint) {
        return Hashing.xxh3_64().hashCharsToLong(fingerprint);
    }

    /**
     * Returns the reservations made since the last call and clears them.
     *
     * @return reservations to send to peers, at most as many as one heartbeat may contain
     */
    public List<PeerMessage.RetryReservation> drainUnsent() {
        int count = Math.min(unsent.size(), MAXIMUM_PER_HEARTBEAT);
        List<PeerMessage.RetryReservation> drained = List.copyOf(unsent.subList(0, count));
        unsent.clear();
        return drained;
    }

    /**
     * Records a reservation that a peer made.
     *
     * @param reservation the peer's reservation
     */
    public void recordPeerReservation(PeerMessage.RetryReservation reservation) {
        store(reservation.fingerprint(), reservation.atMillis());
    }

    /**
     * Uses up the reservation of a request whose retry time has come.
     *
     * @param fingerprint the request's fingerprint
     * @param now the current time in milliseconds
     * @return true when the request has a valid reservation and is to be admitted before new requests
     */
    public boolean redeem(String fingerprint, long now) {
        long key = key(fingerprint);
        Long retryAt = retryTimes.get(key);
        if (retryAt == null || now < retryAt) {
            return false;
        }
        retryTimes.remove(key);
        return now <= retryAt + REDEMPTION_WINDOW_MILLIS;
    }

    /**
     * Returns how long a customer's capacity is reserved.
     *
     * @param customer the customer
     * @param now the current time in milliseconds
     * @return the time until the customer's last reservation in milliseconds, 0 when there is none
     */
    public long reservedMillis(CustomerId customer, long now) {
        return Math.max(0, lastRetryTimes.getOrDefault(customer, 0L) - now);
    }
}
