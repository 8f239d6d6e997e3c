package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that are expected in one engine's cache, from the requests that routers have sent there.
 *
 * <p>Load pattern: sessions of long shared prompts return to the engine that read them; the least recently used parts
 * yield when the engine's memory is full.
 */
final class PromptCacheView {

    private final LinkedHashMap<Long, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
    private long heldTokens;

    /** Counts the tokens at the start of a prompt that are expected to be cached. */
    long cachedTokens(List<PromptChain.Link> links) {
        long cached = 0;
        for (PromptChain.Link link : links) {
            if (!tokensByPart.containsKey(link.key())) {
                break;
            }
            cached += link.tokens();
        }
        return cached;
    }

    /** Remembers that the engine has read parts, and returns those that were not known. */
    List<PromptChain.Link> read(List<PromptChain.Link> links, long capacityTokens) {
        List<PromptChain.Link> unknown = new ArrayList<>();
        for (PromptChain.Link link : links) {
            if (tokensByPart.put(link.key(), link.tokens()) == null) {
                heldTokens += link.tokens();
                unknown.add(link);
            }
        }
        Iterator<Map.Entry<Long, Long>> eldest = tokensByPart.entrySet().iterator();
        while (heldTokens > capacityTokens && eldest.hasNext()) {
            heldTokens -= eldest.next().getValue();
            eldest.remove();
        }
        return unknown;
    }

    void clear() {
        tokensByPart.clear();
        heldTokens = 0;
    }
}
