package org.fuchsiatrail.wire.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * What a router knows after it has applied pure updates of one peer. Prefills are kept apart from cache reports, and
 * switches of weights from weights, as their order among each other may change.
 */
final class ReceiverModel {

    private static final long MINIMUM_RENEWAL_MILLIS = 500;

    private long revision;
    private long storeEra;
    private List<PeerMessage.UpstreamWork> work = List.of();
    private final Map<FailureDomain, List<PeerMessage.UpstreamWork>> domains = new HashMap<>();
    private final Map<String, Long> weights = new HashMap<>();
    private final Map<UpstreamId, Long> switchingUntilMillis = new HashMap<>();
    private final Map<String, Long> targetSetAtMillis = new HashMap<>();
    private final Set<String> exactTargets = new HashSet<>();
    private final Map<String, List<Long>> crashes = new HashMap<>();
    private final Set<String> clearedCrashes = new HashSet<>();
    private final Set<Long> suspectParts = new HashSet<>();
    private final Set<Long> clearedParts = new HashSet<>();
    private final Map<UpstreamId, String> limits = new HashMap<>();
    private final Map<UpstreamId, Long> limitsObservedAtMillis = new HashMap<>();
    private final Map<UpstreamId, Long> pauseEndAtMillis = new HashMap<>();
    private final Map<UpstreamId, List<Long>> pauseEndsInOrder = new HashMap<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private final Map<UpstreamId, Long> darkSeenAtMillis = new HashMap<>();
    private final Map<Long, String> streams = new HashMap<>();
    private final Map<UpstreamId, LinkedHashMap<Long, Long>> prefills = new HashMap<>();
    private final Map<UpstreamId, LinkedHashMap<Long, Long>> caches = new HashMap<>();
    private final Map<UpstreamId, Boolean> unresponsive = new HashMap<>();
    private final Map<String, Long> lastNumberByReader = new HashMap<>();

    void receive(PeerMessage.ForwardingNews update, long nowMillis) {
        revision = update.revision();
        storeEra = update.storeEra();
        work = update.work();
        update.domains().forEach(domain -> domains.put(domain.domain(), domain.work()));
        for (PeerMessage.TargetAge age : update.targetAges()) {
            String target = age.model() + "/" + age.version();
            targetSetAtMillis.merge(target, nowMillis - age.ageMillis(), Math::min);
            if (age.exact()) {
                exactTargets.add(target);
            }
        }
        for (PeerMessage.ReadParts read : update.reads()) {
            store(prefills.computeIfAbsent(read.engine(), id -> new LinkedHashMap<>()), read.keys(), read.tokens());
        }
        for (PeerMessage.SeenWeights seen : update.weights()) {
            String model = seen.engine() + "/" + seen.model();
            if (weights.getOrDefault(model, -1L) < seen.version()) {
                weights.put(model, seen.version());
            }
        }
        for (PeerMessage.Switching report : update.switching()) {
            long untilMillis = nowMillis + report.millisLeft();
            Long knownMillis = switchingUntilMillis.get(report.engine());
            if (knownMillis == null || untilMillis >= knownMillis + MINIMUM_RENEWAL_MILLIS) {
                switchingUntilMillis.put(report.engine(), untilMillis);
            }
        }
        update.caches().forEach(this::receive);
        receiveCrashes(update);
        receiveUpstreamReports(update, nowMillis);
        for (PeerMessage.StartedStreams started : update.startedStreams()) {
            for (long stream : started.streams()) {
                streams.putIfAbsent(stream, started.service() + "/" + started.softwareVersion());
            }
        }
        update.clearedParts().forEach(part -> {
            suspectParts.remove(part);
            clearedParts.add(part);
        });
    }

    private void receive(PeerMessage.CacheChanges report) {
        if (lastNumberByReader.getOrDefault(report.reader(), 0L) >= report.number()) {
            return;
        }
        lastNumberByReader.put(report.reader(), report.number());
        LinkedHashMap<Long, Long> cache = caches.computeIfAbsent(report.holder(), id -> new LinkedHashMap<>());
        if (report.anew()) {
            cache.clear();
        }
        store(cache, report.keys(), report.tokens());
        unresponsive.put(report.holder(), report.unresponsive());
    }

    private static void store(LinkedHashMap<Long, Long> tokensByPart, long[] keys, long[] tokens) {
        for (int index = 0; index < keys.length; index++) {
            tokensByPart.remove(keys[index]);
            if (tokens[index] > 0) {
                tokensByPart.put(keys[index], tokens[index]);
            }
        }
    }

    private void receiveCrashes(PeerMessage.ForwardingNews update) {
        for (PeerMessage.SeenCrash crash : update.crashes()) {
            String key = crash.fingerprint() + "/" + crash.upstream();
            if (!clearedCrashes.contains(key) && !crashes.containsKey(key)) {
                crashes.put(key, List.of());
                for (long part : crash.sharedParts()) {
                    if (!clearedParts.contains(part)) {
                        suspectParts.add(part);
                    }
                }
            }
        }
        for (PeerMessage.SeenCrash crash : update.clearedCrashes()) {
            String key = crash.fingerprint() + "/" + crash.upstream();
            crashes.remove(key);
            clearedCrashes.add(key);
        }
    }

    private void receiveUpstreamReports(PeerMessage.ForwardingNews update, long nowMillis) {
        for (PeerMessage.NamedLimit limit : update.limits()) {
            long observedAtMillis = nowMillis - limit.ageMillis();
            if (observedAtMillis >= limitsObservedAtMillis.getOrDefault(limit.upstream(), Long.MIN_VALUE)) {
                limitsObservedAtMillis.put(limit.upstream(), observedAtMillis);
                limits.put(limit.upstream(), limit.named() + "/" + limit.requestsPerSecond());
            }
        }
        for (PeerMessage.SeenPause pause : update.pauses()) {
            if (pause.millisLeft() > 0) {
                pauseEndAtMillis.merge(pause.upstream(), nowMillis + pause.millisLeft(), Math::max);
                pauseEndsInOrder
                        .computeIfAbsent(pause.upstream(), id -> new ArrayList<>())
                        .add(nowMillis + pause.millisLeft());
            }
        }
        leaving.addAll(update.leaving());
        update.darkUpstreams()
                .forEach(dark -> darkSeenAtMillis.merge(dark.upstream(), nowMillis - dark.ageMillis(), Math::max));
    }

    /** Returns all that is known at a time, in a form that is equal for equal knowledge; what is over is left out. */
    Map<String, Object> stateAt(long nowMillis) {
        Map<String, Object> state = new TreeMap<>();
        state.put("revision", revision);
        state.put("storeEra", storeEra);
        state.put("work", work);
        state.put("domains", domains);
        state.put("weights", weights);
        state.put("switching", later(switchingUntilMillis, nowMillis));
        state.put("targets", targetSetAtMillis);
        state.put("exactTargets", exactTargets);
        state.put("crashes", crashes.keySet());
        state.put("clearedCrashes", clearedCrashes);
        state.put("suspectParts", suspectParts);
        state.put("clearedParts", clearedParts);
        state.put("limits", limits);
        state.put("limitsObservedAt", limitsObservedAtMillis);
        state.put("pauseEnds", later(pauseEndAtMillis, nowMillis));
        state.put("lastPauses", lastPauses(nowMillis));
        state.put("leaving", leaving);
        state.put("dark", darkSeenAtMillis);
        state.put("streams", streams);
        state.put("prefills", inOrder(prefills));
        state.put("caches", inOrder(caches));
        state.put("unresponsive", unresponsive);
        state.put("numbers", lastNumberByReader);
        return state;
    }

    /** Returns the end of the last report of each upstream that is still in force, which tells the pause's length. */
    private Map<UpstreamId, Long> lastPauses(long nowMillis) {
        Map<UpstreamId, Long> last = new HashMap<>();
        pauseEndsInOrder.forEach((upstream, ends) -> ends.stream()
                .filter(endMillis -> endMillis > nowMillis)
                .forEach(endMillis -> last.put(upstream, endMillis)));
        return last;
    }

    private static Map<UpstreamId, Long> later(Map<UpstreamId, Long> timesMillis, long nowMillis) {
        Map<UpstreamId, Long> later = new HashMap<>(timesMillis);
        later.values().removeIf(timeMillis -> timeMillis <= nowMillis);
        return later;
    }

    /** Converts maps to lists, so that the order of use is compared as well. */
    private static Map<UpstreamId, List<Map.Entry<Long, Long>>> inOrder(
            Map<UpstreamId, LinkedHashMap<Long, Long>> maps) {
        Map<UpstreamId, List<Map.Entry<Long, Long>>> lists = new HashMap<>();
        maps.forEach((id, map) -> lists.put(id, new ArrayList<>(map.entrySet())));
        return lists;
    }
}
