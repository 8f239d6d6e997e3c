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

    /** The most promises told to peers in one heartbeat; the oldest go first, others are not told. */
    private static final int MOST_IN_A_HEARTBEAT = 200;

    private static final int CAPACITY = 20_000;

    private final Map<Long, Long> promised = new LinkedHashMap<>();
    private final List<PeerMessage.Promise> fresh = new ArrayList<>();
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
        long key = key(fingerprint);
        Long known = promised.get(key);
        if (known != null && known > now) {
            return known - now;
        }
        long behind = lastPromise.getOrDefault(customer, 0L) + serviceMillis;
        long at = Math.max(now + Math.max(drainMillis, SHORTEST_MILLIS), behind);
        at = Math.min(at, now + LONGEST_MILLIS);
        lastPromise.put(customer, at);
        fresh.add(new PeerMessage.Promise(key, at));
        remember(key, at);
        return at - now;
    }

    private void remember(long key, long at) {
        promised.put(key, at);
        while (promised.size() > CAPACITY) {
            promised.remove(promised.keySet().iterator().next());
        }
    }

    private static long key(String fingerprint) {
        return Hashing.xxh3_64().hashCharsToLong(fingerprint);
    }

    /**
     * Returns the promises made since the last call.
     *
     * @return promises for the peers, at most what one heartbeat carries
     */
    public List<PeerMessage.Promise> takeNew() {
        int count = Math.min(fresh.size(), MOST_IN_A_HEARTBEAT);
        List<PeerMessage.Promise> taken = List.copyOf(fresh.subList(0, count));
        fresh.clear();
        return taken;
    }

    /**
     * Takes a promise that a peer made.
     *
     * @param promise the promise
     */
    public void hear(PeerMessage.Promise promise) {
        remember(promise.fingerprint(), promise.atMillis());
    }

    /**
     * Tells whether a request comes when it was told to, and ends the promise.
     *
     * @param fingerprint the request
     * @param now the time
     * @return true when it is to be let in before new requests
     */
    public boolean redeem(String fingerprint, long now) {
        long key = key(fingerprint);
        Long at = promised.get(key);
        if (at == null || now < at) {
            return false;
        }
        promised.remove(key);
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
