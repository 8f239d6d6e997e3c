package org.fuchsiatrail.internal.forwarding;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Resumable streams whose callers lost them at this router before their end and may resume them elsewhere. */
final class InterruptedStreams {

    /** The most streams that are kept: 16 s of 1,200 streams a second, of which most are interrupted. */
    private static final int MAXIMUM_STREAMS = 20_000;

    private final ForwardingContext context;
    private final Map<Long, Interrupted> streams = new LinkedHashMap<>();

    /**
     * A stream that was interrupted.
     *
     * @param stream its key
     * @param origin what began it
     * @param untilMillis until when its caller may resume it, in milliseconds
     */
    record Interrupted(long stream, StreamOrigins.Origin origin, long untilMillis) {}

    InterruptedStreams(ForwardingContext context) {
        this.context = context;
    }

    void add(long stream, StreamOrigins.Origin origin, long untilMillis) {
        streams.put(stream, new Interrupted(stream, origin, untilMillis));
        if (streams.size() > MAXIMUM_STREAMS) {
            Iterator<Interrupted> oldest = streams.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** The streams that may still be resumed. */
    Collection<Interrupted> resumable() {
        streams.values().removeIf(stream -> context.now() > stream.untilMillis());
        return streams.values();
    }
}
