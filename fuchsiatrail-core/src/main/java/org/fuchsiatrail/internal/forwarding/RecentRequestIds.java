package org.fuchsiatrail.internal.forwarding;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The ids of the requests that this router received last, so that a request whose id came before is noticed. */
final class RecentRequestIds {

    private static final int CAPACITY = 2_048;

    private final Set<String> ids = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CAPACITY;
        }
    });

    /** Adds an id; returns whether it is new. */
    boolean add(String id) {
        return ids.add(id);
    }
}
