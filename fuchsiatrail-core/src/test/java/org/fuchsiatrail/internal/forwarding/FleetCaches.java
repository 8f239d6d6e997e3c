package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;

/** The prefix caches of the engines of an {@link EngineFleet}, and the events that they publish. */
final class FleetCaches {

    private static final long CAPACITY_TOKENS = 91_671;
    private static final long BLOCK_TOKENS = 16;
    private static final long EVENT_LAG_MILLIS = 80;
    private static final int KEPT_EVENTS = 4_000;
    private static final long EPOCH = 77_120;

    private final LongSupplier clock;
    private final BiConsumer<Long, Runnable> scheduler;
    private final Map<String, Cache> caches = new HashMap<>();
    private boolean published;
    private long storedTokens;

    private record Part(String salt, String id) {}

    private record Event(long number, long atMillis, CacheEventsReply.Change change) {}

    private static final class Cache {
        private final LinkedHashMap<Part, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
        private final List<Event> events = new ArrayList<>();
        private long totalTokens;
        private long lastNumber;

        /** Stores a part; returns how many of its tokens were missing. */
        private long store(Part part, long tokens, long nowMillis) {
            long stored = tokensByPart.getOrDefault(part, 0L);
            if (stored < tokens) {
                tokensByPart.put(part, tokens);
                totalTokens += tokens - stored;
                publish(part, tokens, nowMillis);
            }
            return Math.max(0, tokens - stored);
        }

        private void evictLeastRecentlyUsed(long nowMillis) {
            Iterator<Map.Entry<Part, Long>> eldest = tokensByPart.entrySet().iterator();
            while (totalTokens > CAPACITY_TOKENS && eldest.hasNext()) {
                Map.Entry<Part, Long> entry = eldest.next();
                long excess = totalTokens - CAPACITY_TOKENS;
                long left = Math.max(0, entry.getValue() - excess) / BLOCK_TOKENS * BLOCK_TOKENS;
                totalTokens -= entry.getValue() - left;
                publish(entry.getKey(), left, nowMillis);
                if (left > 0) {
                    entry.setValue(left);
                } else {
                    eldest.remove();
                }
            }
        }

        private void publish(Part part, long tokens, long nowMillis) {
            events.add(new Event(++lastNumber, nowMillis, change(part, tokens)));
            if (events.size() > KEPT_EVENTS) {
                events.removeFirst();
            }
        }

        private List<Event> eventsAfter(long cursor, long untilMillis) {
            long firstNumber = lastNumber + 1 - events.size();
            int first = (int) Math.max(0, cursor + 1 - firstNumber);
            int last = events.size();
            while (last > first && events.get(last - 1).atMillis() > untilMillis) {
                last--;
            }
            return List.copyOf(events.subList(first, last));
        }

        private static CacheEventsReply.Change change(Part part, long tokens) {
            return new CacheEventsReply.Change(part.salt(), ForwardingFixture.MODEL, part.id(), tokens);
        }
    }

    /**
     * Creates empty caches.
     *
     * @param clock the virtual time in milliseconds
     * @param scheduler performs an action after a time in milliseconds
     */
    FleetCaches(LongSupplier clock, BiConsumer<Long, Runnable> scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Makes the engines publish their events; until then they reply to no reader. */
    void publish() {
        published = true;
    }

    /** Records that an engine has prefilled a prompt; the least recently used parts yield. */
    void prefill(String engine, String salt, List<ForwardedCall.PromptPart> prompt) {
        Cache cache = caches.computeIfAbsent(engine, id -> new Cache());
        for (ForwardedCall.PromptPart part : prompt) {
            storedTokens += cache.store(new Part(salt, part.id()), part.tokens(), clock.getAsLong());
        }
        cache.evictLeastRecentlyUsed(clock.getAsLong());
    }

    /** The tokens that the engines have prefilled or fetched since the start, as they had them not cached. */
    long storedTokens() {
        return storedTokens;
    }

    /** The tokens that all engines have cached. */
    long cachedTokens() {
        return caches.values().stream().mapToLong(cache -> cache.totalTokens).sum();
    }

    /** Replies to a read of the cache events once there are some, or after the wait that it allows. */
    void read(ForwardingFixture router, ForwardingOutput.ReadCacheEvents query) {
        if (published) {
            awaitEvents(router, query, clock.getAsLong() + query.waitMillis());
        }
    }

    private void awaitEvents(ForwardingFixture router, ForwardingOutput.ReadCacheEvents query, long untilMillis) {
        Cache cache = caches.computeIfAbsent(query.holder().value(), id -> new Cache());
        List<Event> events = cache.eventsAfter(query.cursor(), clock.getAsLong() - EVENT_LAG_MILLIS);
        if (events.isEmpty() && clock.getAsLong() < untilMillis) {
            scheduler.accept(EngineFleet.STEP_MILLIS, () -> awaitEvents(router, query, untilMillis));
            return;
        }
        boolean gap = !events.isEmpty() && events.getFirst().number() > query.cursor() + 1;
        long nextCursor = events.isEmpty() ? query.cursor() : events.getLast().number();
        List<CacheEventsReply.Change> changes =
                events.stream().map(Event::change).toList();
        answer(router, query.holder(), new CacheEventsReply.Changes(EPOCH, nextCursor, gap, changes));
    }

    private static void answer(ForwardingFixture router, UpstreamId holder, CacheEventsReply reply) {
        router.tick(new ForwardingInput.CacheEventsReceived(holder, reply));
    }

    /** Replies to a read of a snapshot. */
    void readSnapshot(ForwardingFixture router, ForwardingOutput.ReadCacheSnapshot query) {
        if (published) {
            scheduler.accept(
                    1L,
                    () -> answer(router, query.holder(), snapshot(query.holder().value())));
        }
    }

    private CacheEventsReply snapshot(String engine) {
        Cache cache = caches.computeIfAbsent(engine, id -> new Cache());
        List<CacheEventsReply.Change> parts = new ArrayList<>();
        cache.tokensByPart.forEach((part, tokens) -> parts.add(Cache.change(part, tokens)));
        return new CacheEventsReply.Snapshot(EPOCH, cache.lastNumber, parts);
    }
}
