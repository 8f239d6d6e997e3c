package org.fuchsiatrail.wire.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/** Generates pure updates of one peer about few upstreams, requests and parts, so that they repeat each other. */
final class RandomUpdates {

    private static final EntryVm SELF =
            new EntryVm(new EntryVmId("vm-1"), new FailureDomain("d"), "127.0.0.1:1", false);

    private final SplittableRandom random;
    private final Map<String, Long> lastNumberByReader = new HashMap<>();
    private final Set<String> readersOfRound = new HashSet<>();
    private long revision;

    RandomUpdates(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Begins updates that may be merged: only among these may a report have a number that was used before. */
    void beginRound() {
        readersOfRound.clear();
    }

    long waitMillis() {
        return random.nextBoolean() ? 0 : random.nextLong(2_000);
    }

    PeerMessage.ForwardingNews next() {
        revision += random.nextInt(3);
        return PeerMessage.ForwardingNews.builder(SELF, revision)
                .storeEra(random.nextInt(3))
                .work(few(this::work))
                .domains(few(
                        () -> new PeerMessage.DomainWork(new FailureDomain("d" + random.nextInt(3)), few(this::work))))
                .weights(
                        few(() -> new PeerMessage.SeenWeights(upstream(), "m" + random.nextInt(2), random.nextLong(4))))
                .targetAges(few(() -> new PeerMessage.TargetAge(
                        "m" + random.nextInt(2), random.nextLong(3), random.nextLong(5_000), random.nextBoolean())))
                .switching(switching())
                .crashes(few(this::crash))
                .clearedCrashes(few(this::crash))
                .clearedParts(few(() -> random.nextLong(5)))
                .limits(few(() -> new PeerMessage.NamedLimit(
                        upstream(), random.nextBoolean(), random.nextInt(5), random.nextLong(3_000))))
                .pauses(few(() -> new PeerMessage.SeenPause(upstream(), random.nextLong(4_000))))
                .leaving(few(this::upstream))
                .darkUpstreams(few(() -> new PeerMessage.DarkUpstream(upstream(), random.nextLong(2_500))))
                .startedStreams(few(() -> new PeerMessage.StartedStreams(
                        "s" + random.nextInt(2), "v" + random.nextInt(2), keys(random.nextInt(4)))))
                .reads(few(this::prefill))
                .caches(few(this::cacheReport))
                .build();
    }

    private <T> List<T> few(Supplier<T> element) {
        return Stream.generate(element).limit(random.nextInt(4)).toList();
    }

    private UpstreamId upstream() {
        return new UpstreamId("engine-" + random.nextInt(4));
    }

    private List<PeerMessage.Switching> switching() {
        return few(this::upstream).stream()
                .distinct()
                .map(engine -> new PeerMessage.Switching(engine, random.nextLong(500, 1_500)))
                .toList();
    }

    private PeerMessage.UpstreamWork work() {
        return new PeerMessage.UpstreamWork(upstream(), random.nextInt(9), 0, random.nextLong(99), 0, 0);
    }

    private PeerMessage.SeenCrash crash() {
        return new PeerMessage.SeenCrash(random.nextLong(3), upstream(), keys(random.nextInt(3)));
    }

    private long[] keys(int count) {
        return LongStream.generate(() -> random.nextLong(6)).limit(count).toArray();
    }

    private long[] tokens(int count) {
        return LongStream.generate(() -> random.nextLong(3)).limit(count).toArray();
    }

    private PeerMessage.ReadParts prefill() {
        int parts = random.nextInt(4);
        return new PeerMessage.ReadParts(upstream(), keys(parts), tokens(parts));
    }

    /** Returns a report with the next number of its reader, or now and then with the last one again. */
    private PeerMessage.CacheChanges cacheReport() {
        String reader = "reader-" + random.nextInt(2);
        boolean repeated = !readersOfRound.add(reader) && random.nextInt(8) == 0;
        long number = lastNumberByReader.merge(reader, repeated ? 0L : 1L, Long::sum);
        if (random.nextInt(8) == 0) {
            return new PeerMessage.CacheChanges(upstream(), true, new long[0], new long[0], reader, number, true);
        }
        int parts = random.nextInt(4);
        return new PeerMessage.CacheChanges(
                upstream(), random.nextInt(4) == 0, keys(parts), tokens(parts), reader, number, false);
    }
}
