package org.fuchsiatrail.wire.peer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;

import org.fuchsiatrail.PeerMessage;

/** Bounds the size of a merged update; what was told first is dropped first. */
final class PeerUpdateBound {

    /**
     * The most prefilled parts, and the most parts in cache reports: together about 110 KB. Without those that are
     * dropped, prompts are prefilled again.
     */
    static final int MAXIMUM_PARTS = 4_096;

    /** The most started streams: those of 30 s, in which they can be resumed, at 600 a second. */
    static final int MAXIMUM_STREAMS = 20_000;

    /** The most crashes, clearances, limits, pauses, leaving and dark upstreams; routers remember as many of each. */
    static final int MAXIMUM_ENTRIES = 10_000;

    private PeerUpdateBound() {}

    /**
     * An update within the bounds.
     *
     * @param update the update
     * @param dropped the number of parts, streams and entries that were dropped from it
     */
    record Bounded(PeerMessage.ForwardingNews update, int dropped) {}

    static Bounded apply(PeerMessage.ForwardingNews update) {
        int excess = excess(update);
        if (excess == 0) {
            return new Bounded(update, 0);
        }
        PeerMessage.ForwardingNews bounded = PeerUpdateMerge.copy(update)
                .reads(newestParts(update.reads(), MAXIMUM_PARTS, PeerMessage.ReadParts::keys, PeerUpdateBound::last))
                .caches(newestParts(
                        update.caches(), MAXIMUM_PARTS, PeerMessage.CacheChanges::keys, PeerUpdateBound::last))
                .startedStreams(newestParts(
                        update.startedStreams(),
                        MAXIMUM_STREAMS,
                        PeerMessage.StartedStreams::streams,
                        PeerUpdateBound::last))
                .crashes(newest(update.crashes()))
                .clearedCrashes(newest(update.clearedCrashes()))
                .clearedParts(newest(update.clearedParts()))
                .limits(newest(update.limits()))
                .pauses(newest(update.pauses()))
                .leaving(newest(update.leaving()))
                .darkUpstreams(newest(update.darkUpstreams()))
                .build();
        return new Bounded(bounded, excess);
    }

    private static int excess(PeerMessage.ForwardingNews update) {
        int excess = Math.max(0, parts(update.reads(), PeerMessage.ReadParts::keys) - MAXIMUM_PARTS)
                + Math.max(0, parts(update.caches(), PeerMessage.CacheChanges::keys) - MAXIMUM_PARTS)
                + Math.max(0, parts(update.startedStreams(), PeerMessage.StartedStreams::streams) - MAXIMUM_STREAMS);
        List<List<?>> entries = List.of(
                update.crashes(),
                update.clearedCrashes(),
                update.clearedParts(),
                update.limits(),
                update.pauses(),
                update.leaving(),
                update.darkUpstreams());
        for (List<?> kind : entries) {
            excess += Math.max(0, kind.size() - MAXIMUM_ENTRIES);
        }
        return excess;
    }

    private static <T> int parts(List<T> entries, Function<T, long[]> keys) {
        int parts = 0;
        for (T entry : entries) {
            parts += keys.apply(entry).length;
        }
        return parts;
    }

    private static <T> List<T> newest(List<T> entries) {
        return entries.subList(Math.max(0, entries.size() - MAXIMUM_ENTRIES), entries.size());
    }

    /** Keeps all entries, of which some tell something without parts, but only the last parts. */
    private static <T> List<T> newestParts(
            List<T> entries, int maximum, Function<T, long[]> keys, BiFunction<T, Integer, T> shorten) {
        Deque<T> kept = new ArrayDeque<>();
        int left = maximum;
        for (T entry : entries.reversed()) {
            int parts = keys.apply(entry).length;
            kept.addFirst(parts <= left ? entry : shorten.apply(entry, left));
            left -= Math.min(left, parts);
        }
        return List.copyOf(kept);
    }

    private static long[] last(long[] values, int count) {
        return Arrays.copyOfRange(values, Math.max(0, values.length - count), values.length);
    }

    private static PeerMessage.ReadParts last(PeerMessage.ReadParts read, int parts) {
        return new PeerMessage.ReadParts(read.engine(), last(read.keys(), parts), last(read.tokens(), parts));
    }

    private static PeerMessage.CacheChanges last(PeerMessage.CacheChanges report, int parts) {
        return new PeerMessage.CacheChanges(
                report.holder(),
                report.anew(),
                last(report.keys(), parts),
                last(report.tokens(), parts),
                report.reader(),
                report.number(),
                report.unresponsive());
    }

    private static PeerMessage.StartedStreams last(PeerMessage.StartedStreams started, int streams) {
        return new PeerMessage.StartedStreams(
                started.service(), started.softwareVersion(), last(started.streams(), streams));
    }
}
