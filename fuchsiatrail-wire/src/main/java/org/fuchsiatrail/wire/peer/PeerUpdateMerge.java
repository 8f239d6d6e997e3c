package org.fuchsiatrail.wire.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Stream;

import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * Merges two updates for a peer into one that has the same effect on it as both, one after the other: of state that
 * each update tells anew the newest remains, and what is told once is united.
 *
 * <p>There are two exceptions, as an update is applied in a fixed order. A prefill that was told after a cache report
 * counts as told before it; the next report of that cache corrects it. A switch of weights that was told before the new
 * weights counts as told after them, so the engine gets no work for as long as the switch was told to take.
 */
final class PeerUpdateMerge {

    /** The least time by which a later report must extend a switch of weights to replace it, in milliseconds. */
    private static final long MINIMUM_SWITCHING_RENEWAL_MILLIS = 500;

    private PeerUpdateMerge() {}

    /** Returns whether a message only tells state, so that it may be merged with others or sent later. */
    static boolean isPureUpdate(PeerMessage.ForwardingNews update) {
        return !update.wantsItems()
                && update.coversUpTo() == 0
                && update.items().isEmpty()
                && update.streamQueries().isEmpty()
                && update.streamReplies().isEmpty()
                && update.openStreamQueries().isEmpty()
                && update.openStreamReplies().isEmpty();
    }

    /**
     * Merges two pure updates of the same sender.
     *
     * @param older the update that was to be sent first
     * @param newer the update that was to be sent after it
     * @return the update to send instead of both
     */
    static PeerMessage.ForwardingNews merge(PeerMessage.ForwardingNews older, PeerMessage.ForwardingNews newer) {
        return unite(older, newer).build();
    }

    /** Returns a builder with the content of a pure update. */
    static ForwardingNewsBuilder copy(PeerMessage.ForwardingNews update) {
        return unite(update, update);
    }

    private static ForwardingNewsBuilder unite(PeerMessage.ForwardingNews older, PeerMessage.ForwardingNews newer) {
        ForwardingNewsBuilder united = PeerMessage.ForwardingNews.builder(newer.vm(), newer.revision())
                .storeEra(newer.storeEraNumber() - 1)
                .work(newer.work())
                .domains(newestOfEach(older.domains(), newer.domains(), PeerMessage.DomainWork::domain))
                .weights(byKey(older.weights(), newer.weights(), ObservedModel::of, PeerUpdateMerge::higherVersion))
                .targetAges(byKey(older.targetAges(), newer.targetAges(), Target::of, PeerUpdateMerge::longerKnown))
                .switching(byKey(
                        older.switching(), newer.switching(), PeerMessage.Switching::engine, PeerUpdateMerge::renewed))
                .crashes(firstOfEach(withoutCleared(older, newer), Crash::of))
                .clearedCrashes(firstOfEach(concat(older.clearedCrashes(), newer.clearedCrashes()), Crash::of))
                .clearedParts(firstOfEach(concat(older.clearedParts(), newer.clearedParts()), Function.identity()))
                .limits(byKey(
                        older.limits(), newer.limits(), PeerMessage.NamedLimit::upstream, PeerUpdateMerge::recent))
                .pauses(pauses(concat(older.pauses(), newer.pauses())))
                .leaving(firstOfEach(concat(older.leaving(), newer.leaving()), Function.identity()))
                .darkUpstreams(byKey(
                        older.darkUpstreams(),
                        newer.darkUpstreams(),
                        PeerMessage.DarkUpstream::upstream,
                        (first, second) -> first.ageMillis() < second.ageMillis() ? first : second))
                .startedStreams(startedStreams(concat(older.startedStreams(), newer.startedStreams())))
                .reads(prefilledParts(concat(older.reads(), newer.reads())))
                .caches(CacheReportMerge.merge(older.caches(), newer.caches()))
                .countsUse(newer.countsUse())
                .subtreeUse(
                        newest(older.subtreeRouters(), newer.subtreeRouters()),
                        newestOfEach(older.subtreeUse(), newer.subtreeUse(), PeerMessage.CustomerUse::customer))
                .fleetUse(
                        newest(older.fleetRouters(), newer.fleetRouters()),
                        newestOfEach(older.fleetUse(), newer.fleetUse(), PeerMessage.CustomerUse::customer));
        return newer.workByChanges() ? withWorkChanges(united, older, newer) : united;
    }

    private static ForwardingNewsBuilder withWorkChanges(
            ForwardingNewsBuilder united, PeerMessage.ForwardingNews older, PeerMessage.ForwardingNews newer) {
        return united.subtreeWork(
                        newestOfEach(older.subtreeWork(), newer.subtreeWork(), PeerMessage.WorkChange::upstream))
                .domainWork(newestOfEach(older.domainWork(), newer.domainWork(), PeerMessage.WorkChange::upstream))
                .fleetWork(newestOfEach(older.fleetWork(), newer.fleetWork(), PeerMessage.WorkChange::upstream));
    }

    private record ObservedModel(UpstreamId engine, String model) {
        static ObservedModel of(PeerMessage.SeenWeights seen) {
            return new ObservedModel(seen.engine(), seen.model());
        }
    }

    private record Target(String model, long version) {
        static Target of(PeerMessage.TargetAge age) {
            return new Target(age.model(), age.version());
        }
    }

    private record Crash(long fingerprint, UpstreamId upstream) {
        static Crash of(PeerMessage.SeenCrash crash) {
            return new Crash(crash.fingerprint(), crash.upstream());
        }
    }

    private record Origin(String service, String softwareVersion) {}

    private static <T> List<T> concat(List<T> older, List<T> newer) {
        return older.isEmpty()
                ? newer
                : newer.isEmpty()
                        ? older
                        : Stream.concat(older.stream(), newer.stream()).toList();
    }

    private static <T, K> List<T> byKey(List<T> older, List<T> newer, Function<T, K> key, BinaryOperator<T> select) {
        Map<K, T> selected = new LinkedHashMap<>();
        concat(older, newer).forEach(entry -> selected.merge(key.apply(entry), entry, select));
        return List.copyOf(selected.values());
    }

    /** Returns the number of routers that was told last; an update that tells none has 0. */
    private static long newest(long older, long newer) {
        return newer == 0 ? older : newer;
    }

    private static <T, K> List<T> newestOfEach(List<T> older, List<T> newer, Function<T, K> key) {
        return byKey(older, newer, key, (first, last) -> last);
    }

    private static <T, K> List<T> firstOfEach(List<T> entries, Function<T, K> key) {
        return byKey(entries, List.of(), key, (first, last) -> first);
    }

    private static PeerMessage.SeenWeights higherVersion(PeerMessage.SeenWeights older, PeerMessage.SeenWeights newer) {
        return newer.version() >= older.version() ? newer : older;
    }

    private static PeerMessage.TargetAge longerKnown(PeerMessage.TargetAge older, PeerMessage.TargetAge newer) {
        return new PeerMessage.TargetAge(
                newer.model(),
                newer.version(),
                Math.max(older.ageMillis(), newer.ageMillis()),
                older.exact() || newer.exact());
    }

    private static PeerMessage.Switching renewed(PeerMessage.Switching older, PeerMessage.Switching newer) {
        return newer.millisLeft() >= older.millisLeft() + MINIMUM_SWITCHING_RENEWAL_MILLIS ? newer : older;
    }

    private static PeerMessage.NamedLimit recent(PeerMessage.NamedLimit older, PeerMessage.NamedLimit newer) {
        return newer.ageMillis() <= older.ageMillis() ? newer : older;
    }

    /** Unites crashes; one that was already cleared when it was reported is none. */
    private static List<PeerMessage.SeenCrash> withoutCleared(
            PeerMessage.ForwardingNews older, PeerMessage.ForwardingNews newer) {
        Set<Crash> cleared = new HashSet<>();
        older.clearedCrashes().forEach(crash -> cleared.add(Crash.of(crash)));
        return concat(
                older.crashes(),
                newer.crashes().stream()
                        .filter(crash -> !cleared.contains(Crash.of(crash)))
                        .toList());
    }

    /** Keeps of each upstream the last pause, which tells its length, and earlier ones that end after later ones. */
    private static List<PeerMessage.SeenPause> pauses(List<PeerMessage.SeenPause> pauses) {
        Map<UpstreamId, List<PeerMessage.SeenPause>> byUpstream = new LinkedHashMap<>();
        for (PeerMessage.SeenPause pause : pauses) {
            List<PeerMessage.SeenPause> kept = byUpstream.computeIfAbsent(pause.upstream(), key -> new ArrayList<>());
            kept.removeIf(earlier -> earlier.millisLeft() <= pause.millisLeft());
            kept.add(pause);
        }
        return byUpstream.values().stream().flatMap(List::stream).toList();
    }

    /** Unites started streams by what began them; the first report of a stream counts. */
    private static List<PeerMessage.StartedStreams> startedStreams(List<PeerMessage.StartedStreams> reports) {
        Set<Long> known = new HashSet<>();
        Map<Origin, List<Long>> streamsByOrigin = new LinkedHashMap<>();
        for (PeerMessage.StartedStreams started : reports) {
            Origin origin = new Origin(started.service(), started.softwareVersion());
            for (long stream : started.streams()) {
                if (known.add(stream)) {
                    streamsByOrigin
                            .computeIfAbsent(origin, key -> new ArrayList<>())
                            .add(stream);
                }
            }
        }
        return streamsByOrigin.entrySet().stream()
                .map(entry -> new PeerMessage.StartedStreams(
                        entry.getKey().service(), entry.getKey().softwareVersion(), toArray(entry.getValue())))
                .toList();
    }

    /** Unites prefilled parts by engine; the last length of a part counts, and the part prefilled last comes last. */
    private static List<PeerMessage.ReadParts> prefilledParts(List<PeerMessage.ReadParts> reads) {
        Map<UpstreamId, PartTokens> partsByEngine = new LinkedHashMap<>();
        for (PeerMessage.ReadParts read : reads) {
            PartTokens known = partsByEngine.remove(read.engine());
            PartTokens parts = known == null ? new PartTokens() : known;
            parts.putAll(read.keys(), read.tokens());
            partsByEngine.put(read.engine(), parts);
        }
        return partsByEngine.entrySet().stream()
                .map(entry -> new PeerMessage.ReadParts(
                        entry.getKey(),
                        entry.getValue().keys(),
                        entry.getValue().tokens()))
                .toList();
    }

    private static long[] toArray(List<Long> values) {
        return values.stream().mapToLong(Long::longValue).toArray();
    }
}
