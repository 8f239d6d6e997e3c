package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.LongStream;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * Buffered peer updates, each sent once in a direction: what this router has observed, and what it passes on as a
 * relay. A relay passes on only what was new to it, so updates do not loop between relays.
 */
final class GossipBuffer {

    private final Updates upward = new Updates();
    private final Updates downward = new Updates();

    /** Where the updates of a router go. */
    enum Destination {
        /** Those of a router's children and its own go to all other neighbours. */
        UPWARD_AND_DOWNWARD,
        /** Those of the rest of the fleet go to the children. */
        DOWNWARD
    }

    /** Updates that are sent in one direction. */
    static final class Updates {

        /** When a version of weights that an engine has not published yet is told again, in milliseconds. */
        private static final long WEIGHTS_REPETITION_MILLIS = 1_000;

        final List<PeerMessage.SeenCrash> crashes = new ArrayList<>();
        final List<PeerMessage.SeenCrash> clearedCrashes = new ArrayList<>();
        final List<Long> clearedParts = new ArrayList<>();
        final List<PeerMessage.NamedLimit> limits = new ArrayList<>();
        final List<PeerMessage.SeenPause> pauses = new ArrayList<>();
        final List<UpstreamId> leaving = new ArrayList<>();
        final List<PeerMessage.DarkUpstream> dark = new ArrayList<>();
        final List<PeerMessage.StartedStreams> startedStreams = new ArrayList<>();
        final List<PeerMessage.Switching> switching = new ArrayList<>();
        final BulkUpdates bulk = new BulkUpdates();
        private final RecentUpdates recent = new RecentUpdates();
        private final Map<PeerMessage.SeenWeights, Long> weightsToldAtMillis = new HashMap<>();

        /** Adds what was sent recently if one of the recipients of the next message is new. */
        void prepareFor(List<EntryVm> recipients, long nowMillis) {
            recent.prepare(this, recipients, nowMillis);
        }

        /** Adds all updates to a message except started streams and those whose size is limited. */
        void writeTo(ForwardingNewsBuilder update) {
            update.crashes(List.copyOf(crashes))
                    .clearedCrashes(List.copyOf(clearedCrashes))
                    .clearedParts(List.copyOf(clearedParts))
                    .limits(List.copyOf(limits))
                    .pauses(List.copyOf(pauses))
                    .leaving(List.copyOf(leaving))
                    .darkUpstreams(List.copyOf(dark))
                    .switching(List.copyOf(switching));
        }

        /** Returns the started streams, those of one software version together. */
        List<PeerMessage.StartedStreams> mergedStreams() {
            Map<List<String>, PeerMessage.StartedStreams> merged = new LinkedHashMap<>();
            for (PeerMessage.StartedStreams started : startedStreams) {
                merged.merge(
                        List.of(started.service(), started.softwareVersion()),
                        started,
                        (first, second) -> new PeerMessage.StartedStreams(
                                first.service(),
                                first.softwareVersion(),
                                LongStream.concat(LongStream.of(first.streams()), LongStream.of(second.streams()))
                                        .toArray()));
            }
            return List.copyOf(merged.values());
        }

        /** Returns those of the versions of weights that are due to be told, and records that they are told. */
        List<PeerMessage.SeenWeights> dueWeights(List<PeerMessage.SeenWeights> unpublished, long nowMillis) {
            weightsToldAtMillis.keySet().retainAll(unpublished);
            List<PeerMessage.SeenWeights> due = new ArrayList<>();
            for (PeerMessage.SeenWeights seen : unpublished) {
                Long toldAtMillis = weightsToldAtMillis.get(seen);
                if (toldAtMillis == null || nowMillis - toldAtMillis >= WEIGHTS_REPETITION_MILLIS) {
                    weightsToldAtMillis.put(seen, nowMillis);
                    due.add(seen);
                }
            }
            return due;
        }

        /** Forgets all updates but those whose size is limited, after they were sent. */
        void clear() {
            crashes.clear();
            clearedCrashes.clear();
            clearedParts.clear();
            limits.clear();
            pauses.clear();
            leaving.clear();
            dark.clear();
            startedStreams.clear();
            switching.clear();
        }
    }

    /** Updates for the parent, for the roots of other failure domains, and for all peers in a full mesh. */
    Updates upward() {
        return upward;
    }

    /** Updates for the children. */
    Updates downward() {
        return downward;
    }

    /** Adds an update to the buffers of a destination. */
    void add(Destination destination, Consumer<Updates> addition) {
        addition.accept(downward);
        if (destination == Destination.UPWARD_AND_DOWNWARD) {
            addition.accept(upward);
        }
    }

    /** Discards the updates for the children of a router that has none; new children are told the recent ones. */
    void discardDownward(long nowMillis) {
        downward.prepareFor(List.of(), nowMillis);
        downward.clear();
        downward.bulk.clear();
    }
}
