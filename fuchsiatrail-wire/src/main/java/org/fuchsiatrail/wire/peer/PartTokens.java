package org.fuchsiatrail.wire.peer;

import java.util.LinkedHashMap;
import java.util.Map;

/** Numbers of tokens by prompt part, in the order in which the parts were last put. */
final class PartTokens {

    private final Map<Long, Long> tokensByKey = new LinkedHashMap<>();

    void putAll(long[] keys, long[] tokens) {
        for (int index = 0; index < Math.min(keys.length, tokens.length); index++) {
            tokensByKey.remove(keys[index]);
            tokensByKey.put(keys[index], tokens[index]);
        }
    }

    long[] keys() {
        return tokensByKey.keySet().stream().mapToLong(Long::longValue).toArray();
    }

    long[] tokens() {
        return tokensByKey.values().stream().mapToLong(Long::longValue).toArray();
    }
}
