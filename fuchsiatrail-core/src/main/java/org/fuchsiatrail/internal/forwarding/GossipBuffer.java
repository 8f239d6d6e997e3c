package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * Buffered peer updates, each sent once: what this router has observed, and what it passes on as a relay. A relay
 * passes on only what was new to it, so updates do not loop between relays.
 */
final class GossipBuffer {

    private final List<PeerMessage.CacheChanges> cacheReports = new ArrayList<>();
    private final Updates local = new Updates();
    private final Updates remote = new Updates();

    /** Buffered updates from one origin, either the own failure domain or all others. */
    static final class Updates {
        final List<PeerMessage.ReadParts> prefilledParts = new ArrayList<>();
        final List<PeerMessage.SeenCrash> crashes = new ArrayList<>();
        final List<PeerMessage.SeenCrash> clearedCrashes = new ArrayList<>();
        final List<Long> clearedParts = new ArrayList<>();
        final List<PeerMessage.NamedLimit> limits = new ArrayList<>();
        final List<PeerMessage.SeenPause> pauses = new ArrayList<>();
        final List<UpstreamId> leaving = new ArrayList<>();
        final List<PeerMessage.StartedStreams> startedStreams = new ArrayList<>();
        final List<PeerMessage.Switching> switching = new ArrayList<>();

        private void clear() {
            prefilledParts.clear();
            crashes.clear();
            clearedCrashes.clear();
            clearedParts.clear();
            limits.clear();
            pauses.clear();
            leaving.clear();
            startedStreams.clear();
            switching.clear();
        }
    }

    /** Updates that come from this router or from a router of its failure domain. */
    Updates local() {
        return local;
    }

    /** Updates that come from another failure domain. */
    Updates remote() {
        return remote;
    }

    /**
     * Cache reports for the own failure domain. They are not sent to other domains, because each domain reads the cache
     * events of all engines itself.
     */
    List<PeerMessage.CacheChanges> cacheReports() {
        return cacheReports;
    }

    /** Adds the updates of the own failure domain to a message for another domain. */
    void writeLocal(ForwardingNewsBuilder update) {
        update.reads(List.copyOf(local.prefilledParts))
                .crashes(List.copyOf(local.crashes))
                .clearedCrashes(List.copyOf(local.clearedCrashes))
                .clearedParts(List.copyOf(local.clearedParts))
                .limits(List.copyOf(local.limits))
                .pauses(List.copyOf(local.pauses))
                .leaving(List.copyOf(local.leaving))
                .startedStreams(List.copyOf(local.startedStreams))
                .switching(List.copyOf(local.switching));
    }

    /** Adds all updates to a message for a router of the own failure domain. */
    void writeAll(ForwardingNewsBuilder update) {
        update.reads(Stream.concat(local.prefilledParts.stream(), remote.prefilledParts.stream())
                        .toList())
                .crashes(Stream.concat(local.crashes.stream(), remote.crashes.stream())
                        .toList())
                .clearedCrashes(Stream.concat(local.clearedCrashes.stream(), remote.clearedCrashes.stream())
                        .toList())
                .limits(Stream.concat(local.limits.stream(), remote.limits.stream())
                        .toList())
                .pauses(Stream.concat(local.pauses.stream(), remote.pauses.stream())
                        .toList())
                .leaving(Stream.concat(local.leaving.stream(), remote.leaving.stream())
                        .toList())
                .clearedParts(Stream.concat(local.clearedParts.stream(), remote.clearedParts.stream())
                        .toList())
                .switching(Stream.concat(local.switching.stream(), remote.switching.stream())
                        .toList())
                .caches(List.copyOf(cacheReports));
    }

    /** Discards all updates after they were sent. */
    void clear() {
        local.clear();
        remote.clear();
        cacheReports.clear();
    }
}
