package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardedCall;

/** The service and software version that began each resumable stream, as this router and its peers observed. */
final class StreamOrigins {

    /** How long a caller may resume a stream, in milliseconds; callers' deadlines are 15 s at most. */
    static final long RETENTION_MILLIS = 30_000;

    /** The most streams that are kept: 30 s of 1,200 streams a second, with a margin. */
    private static final int MAXIMUM_STREAMS = 50_000;

    private final ForwardingContext context;
    private final Map<Long, Entry> entriesByStream = new LinkedHashMap<>();
    private final Map<Origin, List<Long>> unsent = new HashMap<>();

    /** What began a stream. */
    record Origin(String service, String softwareVersion) {}

    private record Entry(Origin origin, long recordedAtMillis) {}

    StreamOrigins(ForwardingContext context) {
        this.context = context;
    }

    /** Returns the key of the stream that a caller begins or resumes. */
    static long streamKey(ForwardedCall call) {
        String attemptId = call.resumedAttemptId().isEmpty() ? call.callerAttemptId() : call.resumedAttemptId();
        return Hashing.xxh3_64().hashCharsToLong(attemptId);
    }

    /** Records a stream that this router passes on, for itself and its peers. */
    void record(long stream, Origin origin) {
        if (put(stream, origin)) {
            unsent.computeIfAbsent(origin, key -> new ArrayList<>()).add(stream);
        }
    }

    /** Records streams that a peer reported; returns those that were unknown. */
    Optional<PeerMessage.StartedStreams> receive(PeerMessage.StartedStreams started) {
        Origin origin = new Origin(started.service(), started.softwareVersion());
        List<Long> added = new ArrayList<>();
        for (long stream : started.streams()) {
            if (put(stream, origin)) {
                added.add(stream);
            }
        }
        return added.isEmpty() ? Optional.empty() : Optional.of(toMessage(origin, added));
    }

    /** Adds a stream, or extends the time for which it is kept once half of that has passed. */
    private boolean put(long stream, Origin origin) {
        Entry known = entriesByStream.get(stream);
        if (known != null && context.now() - known.recordedAtMillis() < RETENTION_MILLIS / 2) {
            return false;
        }
        // Removed first, so that the entries stay in the order of their age.
        entriesByStream.remove(stream);
        entriesByStream.put(stream, new Entry(known == null ? origin : known.origin(), context.now()));
        removeExpired();
        return true;
    }

    private void removeExpired() {
        Iterator<Entry> oldest = entriesByStream.values().iterator();
        while (oldest.hasNext()
                && (context.now() - oldest.next().recordedAtMillis() > RETENTION_MILLIS
                        || entriesByStream.size() > MAXIMUM_STREAMS)) {
            oldest.remove();
        }
    }

    Optional<Origin> find(long stream) {
        return Optional.ofNullable(entriesByStream.get(stream)).map(Entry::origin);
    }

    boolean hasUnsent() {
        return !unsent.isEmpty();
    }

    /** Removes and returns the streams that have not been sent to peers yet. */
    List<PeerMessage.StartedStreams> drainUnsent() {
        List<PeerMessage.StartedStreams> drained = new ArrayList<>();
        unsent.forEach((origin, streams) -> drained.add(toMessage(origin, streams)));
        unsent.clear();
        return drained;
    }

    private static PeerMessage.StartedStreams toMessage(Origin origin, List<Long> streams) {
        return new PeerMessage.StartedStreams(
                origin.service(),
                origin.softwareVersion(),
                streams.stream().mapToLong(Long::longValue).toArray());
    }
}
