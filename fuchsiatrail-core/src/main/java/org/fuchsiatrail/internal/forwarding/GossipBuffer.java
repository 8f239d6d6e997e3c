package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;

/**
 * News that is told once: what this router has seen, and what it passes on as a relay. Only what was new here is passed
 * on, so news does not circle.
 */
final class GossipBuffer {

    private final List<PeerMessage.CacheChanges> caches = new ArrayList<>();
    private final Part near = new Part();
    private final Part distant = new Part();

    /** News of one origin. */
    static final class Part {
        final List<PeerMessage.ReadParts> reads = new ArrayList<>();
        final List<PeerMessage.SeenCrash> crashes = new ArrayList<>();
        final List<PeerMessage.Switching> switching = new ArrayList<>();

        private void clear() {
            reads.clear();
            crashes.clear();
            switching.clear();
        }
    }

    /** News that was seen here or by a router of the own failure domain. */
    Part near() {
        return near;
    }

    /** News that came from another failure domain. */
    Part distant() {
        return distant;
    }

    /** Changes in caches, which each failure domain reads for itself. */
    List<PeerMessage.CacheChanges> caches() {
        return caches;
    }

    /** Writes the news of the own domain into a message to another domain. */
    void writeNear(ForwardingNewsBuilder news) {
        news.reads(List.copyOf(near.reads)).crashes(List.copyOf(near.crashes)).switching(List.copyOf(near.switching));
    }

    /** Writes all news into a message to a router of the own domain. */
    void writeAll(ForwardingNewsBuilder news) {
        news.reads(Stream.concat(near.reads.stream(), distant.reads.stream()).toList())
                .crashes(Stream.concat(near.crashes.stream(), distant.crashes.stream())
                        .toList())
                .switching(Stream.concat(near.switching.stream(), distant.switching.stream())
                        .toList())
                .caches(List.copyOf(caches));
    }

    /** Forgets what has been told. */
    void clear() {
        near.clear();
        distant.clear();
        caches.clear();
    }
}
