package org.fuchsiatrail.wire.peer;

import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a merged update that tells a slow peer less, or something else, than the updates in it. */
class PeerUpdateMergeTest {

    private static final EntryVm SELF =
            new EntryVm(new EntryVmId("vm-1"), new FailureDomain("d"), "127.0.0.1:1", false);
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");

    private static final List<String> QUERIES_AND_REPLIES =
            List.of("items", "streamQueries", "streamReplies", "openStreamQueries", "openStreamReplies");

    /** An entry of each list; a list that is added to updates needs one, and a line in the merge. */
    private static final Map<String, Object> ENTRIES = Map.ofEntries(
            Map.entry("work", new PeerMessage.UpstreamWork(ENGINE, 1, 1, 1, 1, 1)),
            Map.entry("weights", new PeerMessage.SeenWeights(ENGINE, "m", 2)),
            Map.entry("switching", new PeerMessage.Switching(ENGINE, 900)),
            Map.entry("crashes", PeerMessage.SeenCrash.ofRequest(1, ENGINE)),
            Map.entry("reads", new PeerMessage.ReadParts(ENGINE, new long[] {1}, new long[] {2})),
            Map.entry("domains", new PeerMessage.DomainWork(new FailureDomain("d"), List.of())),
            Map.entry(
                    "caches",
                    new PeerMessage.CacheChanges(ENGINE, false, new long[] {1}, new long[] {2}, "reader", 1, false)),
            Map.entry("clearedCrashes", PeerMessage.SeenCrash.ofRequest(2, ENGINE)),
            Map.entry("clearedParts", 3L),
            Map.entry("limits", new PeerMessage.NamedLimit(ENGINE, true, 4, 5)),
            Map.entry("startedStreams", new PeerMessage.StartedStreams("s", "v", new long[] {6})),
            Map.entry("targetAges", new PeerMessage.TargetAge("m", 7, 8, true)),
            Map.entry("pauses", new PeerMessage.SeenPause(ENGINE, 9)),
            Map.entry("leaving", ENGINE),
            Map.entry("darkUpstreams", new PeerMessage.DarkUpstream(ENGINE, 10)),
            Map.entry("subtreeWork", new PeerMessage.WorkChange(1, 2, 0, 0, 0, 0)),
            Map.entry("domainWork", new PeerMessage.WorkChange(2, 3, 0, 0, 0, 0)),
            Map.entry("fleetWork", new PeerMessage.WorkChange(3, 4, 0, 0, 0, 0)),
            Map.entry("subtreeUse", new PeerMessage.CustomerUse(1, 2, 3, 4)),
            Map.entry("fleetUse", new PeerMessage.CustomerUse(5, 6, 7, 8)));

    private static Stream<String> mergedLists() {
        return Arrays.stream(PeerMessage.ForwardingNews.class.getRecordComponents())
                .filter(component -> component.getType() == List.class)
                .map(RecordComponent::getName)
                .filter(name -> !QUERIES_AND_REPLIES.contains(name));
    }

    private static PeerMessage.ForwardingNews updateWith(Map<String, Object> entries, boolean flags, long numbers) {
        RecordComponent[] components = PeerMessage.ForwardingNews.class.getRecordComponents();
        Object[] arguments = Arrays.stream(components)
                .map(component -> argument(component, entries, flags, numbers))
                .toArray();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            return PeerMessage.ForwardingNews.class
                    .getDeclaredConstructor(types)
                    .newInstance(arguments);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    private static Object argument(
            RecordComponent component, Map<String, Object> entries, boolean flags, long numbers) {
        if (component.getType() == EntryVm.class) {
            return SELF;
        }
        if (component.getType() == boolean.class) {
            return flags && !component.getName().equals("wantsItems");
        }
        if (component.getType() == long.class) {
            return component.getName().equals("coversUpTo") ? 0 : numbers;
        }
        Object entry = entries.get(component.getName());
        return entry == null ? List.of() : List.of(entry);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_have_the_effect_of_both_updates(long seed) {
        RandomUpdates updates = new RandomUpdates(seed);
        ReceiverModel eachUpdate = new ReceiverModel();
        ReceiverModel mergedUpdates = new ReceiverModel();
        long nowMillis = 100_000;
        for (int round = 0; round < 1_000; round++) {
            updates.beginRound();
            PeerMessage.ForwardingNews merged = updates.next();
            eachUpdate.receive(merged, nowMillis);
            int more = round % 4;
            for (int number = 0; number < more; number++) {
                long waitedMillis = updates.waitMillis();
                nowMillis += waitedMillis;
                PeerMessage.ForwardingNews newer = updates.next();
                eachUpdate.receive(newer, nowMillis);
                merged = PeerUpdateMerge.merge(PeerUpdateAge.afterWait(merged, waitedMillis), newer);
            }
            mergedUpdates.receive(merged, nowMillis);
            assertThat(mergedUpdates.stateAt(nowMillis))
                    .as("seed %d, round %d", seed, round)
                    .isEqualTo(eachUpdate.stateAt(nowMillis));
            nowMillis += 10_000;
            if (round % 10 == 9) {
                eachUpdate = new ReceiverModel();
                mergedUpdates = new ReceiverModel();
            }
        }
    }

    @ParameterizedTest
    @MethodSource("mergedLists")
    void should_keep_what_either_update_tells_in_any_list(String list) throws ReflectiveOperationException {
        assertThat(ENTRIES).containsKey(list);
        PeerMessage.ForwardingNews update = updateWith(Map.of(list, ENTRIES.get(list)), true, 1);
        PeerMessage.ForwardingNews empty = updateWith(Map.of(), true, 1);
        Object newerOnly =
                PeerMessage.ForwardingNews.class.getMethod(list).invoke(PeerUpdateMerge.merge(empty, update));
        Object olderOnly =
                PeerMessage.ForwardingNews.class.getMethod(list).invoke(PeerUpdateMerge.merge(update, empty));
        assertThat((List<?>) newerOnly).hasSize(1);
        assertThat((List<?>) olderOnly).hasSize(list.equals("work") ? 0 : 1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_tell_the_work_as_the_newer_update_does(boolean byChanges) {
        PeerMessage.ForwardingNews complete = PeerMessage.ForwardingNews.builder(SELF, 1)
                .work(List.of(new PeerMessage.UpstreamWork(ENGINE, 1, 0, 0, 0, 0)))
                .build();
        PeerMessage.ForwardingNews changes = PeerMessage.ForwardingNews.builder(SELF, 1)
                .fleetWork(List.of(new PeerMessage.WorkChange(1, 2, 0, 0, 0, 0)))
                .build();
        PeerMessage.ForwardingNews merged =
                byChanges ? PeerUpdateMerge.merge(complete, changes) : PeerUpdateMerge.merge(changes, complete);
        assertThat(merged.workByChanges()).isEqualTo(byChanges);
        assertThat(merged.work()).hasSize(byChanges ? 0 : 1);
        assertThat(merged.fleetWork()).hasSize(byChanges ? 1 : 0);
    }

    @Test
    void should_keep_every_component_of_a_copy() {
        PeerMessage.ForwardingNews update = updateWith(new HashMap<>(ENTRIES), true, 5);
        assertThat(PeerCodec.encode(PeerUpdateMerge.copy(update).build())).isEqualTo(PeerCodec.encode(update));
    }

    @Test
    void should_merge_only_updates_without_queries_replies_and_items() {
        assertThat(PeerUpdateMerge.isPureUpdate(updateWith(ENTRIES, true, 5))).isTrue();
        assertThat(PeerUpdateMerge.isPureUpdate(
                        PeerMessage.ForwardingNews.builder(SELF, 1).wantsItems().build()))
                .isFalse();
        assertThat(PeerUpdateMerge.isPureUpdate(PeerMessage.ForwardingNews.builder(SELF, 1)
                        .items(List.of(), 1)
                        .build()))
                .isFalse();
        for (String list : QUERIES_AND_REPLIES) {
            assertThat(PeerUpdateMerge.isPureUpdate(updateWith(Map.of(list, "entry"), false, 1)))
                    .as(list)
                    .isFalse();
        }
    }

    @Test
    void should_bound_parts_but_keep_crashes_and_reports() {
        PeerMessage.ForwardingNews update = PeerMessage.ForwardingNews.builder(SELF, 1)
                .crashes(IntStream.range(0, 9_000)
                        .mapToObj(request -> PeerMessage.SeenCrash.ofRequest(request, ENGINE))
                        .toList())
                .caches(IntStream.rangeClosed(1, 50)
                        .mapToObj(number -> new PeerMessage.CacheChanges(
                                new UpstreamId("engine-" + number),
                                false,
                                new long[100],
                                new long[100],
                                "reader",
                                number,
                                false))
                        .toList())
                .build();
        PeerUpdateBound.Bounded bounded = PeerUpdateBound.apply(update);
        assertThat(bounded.dropped()).isEqualTo(5_000 - PeerUpdateBound.MAXIMUM_PARTS);
        assertThat(bounded.update().crashes()).hasSize(9_000);
        assertThat(bounded.update().caches().stream().map(PeerMessage.CacheChanges::number))
                .containsExactlyElementsOf(IntStream.rangeClosed(1, 50)
                        .mapToObj(number -> (long) number)
                        .toList());
        assertThat(bounded.update().caches().getFirst().keys()).isEmpty();
        assertThat(bounded.update().caches().getLast().keys()).hasSize(100);
    }
}
