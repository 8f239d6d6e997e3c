package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * The updates that were sent in one direction a short while ago, which a new recipient has missed if the router that it
 * heard from before had become unresponsive.
 */
final class RecentUpdates {

    /** How long updates are kept, in milliseconds; two replacements of an unresponsive relay in a row take less. */
    private static final long RETENTION_MILLIS = 4_000;

    private final Deque<Sent> sent = new ArrayDeque<>();
    private Set<EntryVmId> recipients = Set.of();

    private record Sent(
            long atMillis,
            List<PeerMessage.SeenCrash> crashes,
            List<PeerMessage.SeenCrash> clearedCrashes,
            List<Long> clearedParts,
            List<PeerMessage.NamedLimit> limits,
            List<PeerMessage.SeenPause> pauses,
            List<UpstreamId> leaving,
            List<PeerMessage.StartedStreams> startedStreams) {

        boolean isEmpty() {
            return crashes.isEmpty()
                    && clearedCrashes.isEmpty()
                    && clearedParts.isEmpty()
                    && limits.isEmpty()
                    && pauses.isEmpty()
                    && leaving.isEmpty()
                    && startedStreams.isEmpty();
        }

        void repeat(GossipBuffer.Updates updates, long nowMillis) {
            long elapsedMillis = nowMillis - atMillis;
            updates.crashes.addAll(crashes);
            updates.clearedCrashes.addAll(clearedCrashes);
            updates.clearedParts.addAll(clearedParts);
            updates.leaving.addAll(leaving);
            updates.startedStreams.addAll(startedStreams);
            limits.forEach(limit -> updates.limits.add(new PeerMessage.NamedLimit(
                    limit.upstream(), limit.named(), limit.requestsPerSecond(), limit.ageMillis() + elapsedMillis)));
            for (PeerMessage.SeenPause pause : pauses) {
                if (pause.millisLeft() > elapsedMillis) {
                    updates.pauses.add(new PeerMessage.SeenPause(pause.upstream(), pause.millisLeft() - elapsedMillis));
                }
            }
        }
    }

    /** Records what is about to be sent; if a recipient is new, adds what was sent recently. */
    void prepare(GossipBuffer.Updates updates, List<EntryVm> currentRecipients, long nowMillis) {
        while (!sent.isEmpty() && nowMillis - sent.peekFirst().atMillis() > RETENTION_MILLIS) {
            sent.removeFirst();
        }
        Sent next = new Sent(
                nowMillis,
                List.copyOf(updates.crashes),
                List.copyOf(updates.clearedCrashes),
                List.copyOf(updates.clearedParts),
                List.copyOf(updates.limits),
                List.copyOf(updates.pauses),
                List.copyOf(updates.leaving),
                updates.mergedStreams());
        Set<EntryVmId> ids = new HashSet<>();
        currentRecipients.forEach(recipient -> ids.add(recipient.id()));
        if (!recipients.containsAll(ids)) {
            sent.forEach(earlier -> earlier.repeat(updates, nowMillis));
        }
        recipients = ids;
        if (!next.isEmpty()) {
            sent.addLast(next);
        }
    }
}
