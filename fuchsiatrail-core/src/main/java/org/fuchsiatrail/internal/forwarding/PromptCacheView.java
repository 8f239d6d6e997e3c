package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.PeerMessage;

/**
 * The prompt parts that are expected in the cache of one engine or KV cache store: those prefilled for requests of any
 * router, and those in the cache reports.
 *
 * <p>Load pattern: sessions of long shared prompts return to the engine that prefilled them, while prompts and answers
 * that no other request shares evict the least recently used parts. Only the engine knows which parts are left. An
 * estimate from the requests is used until its cache report arrives, and while its cache events cannot be read.
 */
final class PromptCacheView {

    /** How long the last cache report is trusted, in milliseconds; several long polls of the cache events. */
    private static final long REPORT_VALIDITY_MILLIS = 4_000;

    private final LinkedHashMap<Long, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
    private long totalTokens;
    private long lastReportAtMillis = Long.MIN_VALUE / 2;

    /** Returns the number of tokens of the prompt prefix that are expected to be cached. */
    long cachedTokens(List<PromptChain.Link> links) {
        long prefixTokens = 0;
        for (PromptChain.Link link : links) {
            long storedTokens = tokensByPart.getOrDefault(link.key(), 0L);
            prefixTokens += Math.min(storedTokens, link.tokens());
            if (storedTokens < link.tokens()) {
                break;
            }
        }
        return prefixTokens;
    }

    /** Returns the number of tokens of a part that are expected to be cached. */
    long storedTokens(long key) {
        return tokensByPart.getOrDefault(key, 0L);
    }

    /**
     * Records that the engine has prefilled parts, and returns those that were not known. Without a fresh cache report
     * the least recently used parts beyond the capacity are dropped.
     */
    List<PromptChain.Link> recordPrefill(List<PromptChain.Link> links, long capacityTokens, long nowMillis) {
        List<PromptChain.Link> newLinks = new ArrayList<>();
        for (PromptChain.Link link : links) {
            if (tokensByPart.getOrDefault(link.key(), 0L) < link.tokens()) {
                newLinks.add(link);
            }
            store(link.key(), link.tokens());
        }
        if (!hasFreshReport(nowMillis)) {
            evictLeastRecentlyUsed(capacityTokens);
        }
        return newLinks;
    }

    /**
     * Applies a cache report; a snapshot replaces everything known before. One that the cache is unresponsive makes the
     * view an estimate.
     */
    void applyReport(PeerMessage.CacheChanges changes, long nowMillis) {
        if (changes.anew()) {
            clear();
        }
        for (int index = 0; index < Math.min(changes.keys().length, changes.tokens().length); index++) {
            store(changes.keys()[index], changes.tokens()[index]);
        }
        lastReportAtMillis = changes.unresponsive() ? Long.MIN_VALUE / 2 : nowMillis;
    }

    /** Returns whether a cache report arrived recently enough to be trusted. */
    boolean hasFreshReport(long nowMillis) {
        return nowMillis - lastReportAtMillis < REPORT_VALIDITY_MILLIS;
    }

    private void store(long key, long tokens) {
        Long previous = tokens > 0 ? tokensByPart.put(key, tokens) : tokensByPart.remove(key);
        totalTokens += tokens - (previous == null ? 0 : previous);
    }

    private void evictLeastRecentlyUsed(long capacityTokens) {
        Iterator<Map.Entry<Long, Long>> eldest = tokensByPart.entrySet().iterator();
        while (totalTokens > capacityTokens && eldest.hasNext()) {
            totalTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    void clear() {
        tokensByPart.clear();
        totalTokens = 0;
    }
}
