package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.PeerMessage;

/**
 * The prompt parts that are expected in the cache of one engine or store: those that routers have had it read, and what
 * it tells of its cache itself.
 *
 * <p>Load pattern: sessions of long shared prompts return to the engine that read them, while the prompts and answers
 * that nobody shares push the least recently used parts out. Only the engine knows which parts are left; a guess from
 * requests serves until its word arrives, and when it cannot be heard.
 */
final class PromptCacheView {

    /** How long after the cache's last word its own account is trusted, in milliseconds; several long waits. */
    private static final long TOLD_MILLIS = 4_000;

    private final LinkedHashMap<Long, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
    private long heldTokens;
    private long toldAtMillis = Long.MIN_VALUE / 2;

    /** Counts the tokens at the start of a prompt that are expected to be cached. */
    long cachedTokens(List<PromptChain.Link> links) {
        long cached = 0;
        for (PromptChain.Link link : links) {
            long stored = tokensByPart.getOrDefault(link.key(), 0L);
            cached += Math.min(stored, link.tokens());
            if (stored < link.tokens()) {
                break;
            }
        }
        return cached;
    }

    /** Remembers that the engine has read parts, and returns those that were not known. */
    List<PromptChain.Link> recordPrefill(List<PromptChain.Link> links, long capacityTokens, long nowMillis) {
        List<PromptChain.Link> unknown = new ArrayList<>();
        for (PromptChain.Link link : links) {
            if (tokensByPart.getOrDefault(link.key(), 0L) < link.tokens()) {
                unknown.add(link);
            }
            store(link.key(), link.tokens());
        }
        if (!hasFreshReport(nowMillis)) {
            dropOldest(capacityTokens);
        }
        return unknown;
    }

    /** Takes the cache's own word on what changed in it. */
    void applyReport(PeerMessage.CacheChanges changes, long nowMillis) {
        if (changes.anew()) {
            clear();
        }
        for (int index = 0; index < Math.min(changes.keys().length, changes.tokens().length); index++) {
            store(changes.keys()[index], changes.tokens()[index]);
        }
        toldAtMillis = nowMillis;
    }

    /** Tells whether the cache itself was heard lately. */
    boolean hasFreshReport(long nowMillis) {
        return nowMillis - toldAtMillis < TOLD_MILLIS;
    }

    private void store(long key, long tokens) {
        Long before = tokens > 0 ? tokensByPart.put(key, tokens) : tokensByPart.remove(key);
        heldTokens += tokens - (before == null ? 0 : before);
    }

    private void dropOldest(long capacityTokens) {
        Iterator<Map.Entry<Long, Long>> eldest = tokensByPart.entrySet().iterator();
        while (heldTokens > capacityTokens && eldest.hasNext()) {
            heldTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    void clear() {
        tokensByPart.clear();
        heldTokens = 0;
    }
}
