package org.fuchsiatrail.internal.forwarding;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The keys of prompt parts that requests are known to share, limited to the most recently seen ones. */
final class SharedParts {

    /** The most parts that are kept: several versions of a thousand sessions, about a megabyte. */
    private static final int MAXIMUM_PARTS = 20_000;

    private final Set<Long> keys = new LinkedHashSet<>();

    void add(long key) {
        keys.remove(key);
        keys.add(key);
        if (keys.size() > MAXIMUM_PARTS) {
            Iterator<Long> oldest = keys.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    boolean contains(long key) {
        return keys.contains(key);
    }
}
