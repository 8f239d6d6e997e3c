package org.fuchsiatrail.internal.limits;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiatrail.CustomerId;

/**
 * Gives refused requests a time to come back that their customer's part of the capacity can keep.
 *
 * <p>Each promise is set behind the customer's earlier ones. A request that comes back in time is let in before new
 * ones.
 */
public final class Promises {

    /** The longest time to come back, in milliseconds. */
    private static final long LONGEST_MILLIS = 60_000;

    /** The shortest time to come back, in milliseconds. */
    private static final long SHORTEST_MILLIS = 250;

    /** How early or late a promised request may come, in milliseconds. */
    private static final long TOLERANCE_MILLIS = 15_000;

    private static final int CAPACITY = 20_000;

    private final Map<String, Long> promised = new LinkedHashMap<>();
    private final Map<CustomerId, Long> lastPromise = new HashMap<>();

    /**
     * Promises a time.
     *
     * @param customer whose request it is
     * @param fingerprint the request
     * @param now the time
     * @param drainMillis the time until the customer's waiting work is done
     * @param serviceMillis the time that the request itself takes of the customer's part
     * @return milliseconds from now, the same for a request that was refused before and comes too early
     */
    public long promise(CustomerId customer, String fingerprint, long now, long drainMillis, long serviceMillis) {
        Long known = promised.get(fingerprint);
        if (known != null && known > now) {
            return known - now;
        }
        long behind = lastPromise.getOrDefault(customer, 0L) + serviceMillis;
        long at = Math.max(now + Math.max(drainMillis, SHORTEST_MILLIS), behind);
        at = Math.min(at, now + LONGEST_MILLIS);
        lastPromise.put(customer, at);
        promised.put(fingerprint, at);
        while (promised.size() > CAPACITY) {
            promised.remove(promised.keySet().iterator().next());
        }
        return at - now;
    }

    /**
     * Tells whether a request comes when it was told to, and ends the promise.
     *
     * @param fingerprint the request
     * @param now the time
     * @return true when it is to be let in before new requests
     */
    public boolean redeem(String fingerprint, long now) {
        Long at = promised.get(fingerprint);
        if (at == null || now < at) {
            return false;
        }
        promised.remove(fingerprint);
        return now <= at + TOLERANCE_MILLIS;
    }

    /**
     * Returns until when a customer's capacity is promised.
     *
     * @param customer the customer
     * @param now the time
     * @return milliseconds from now, 0 when nothing is promised
     */
    public long promisedMillis(CustomerId customer, long now) {
        return Math.max(0, lastPromise.getOrDefault(customer, 0L) - now);
    }
}
