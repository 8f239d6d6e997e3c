package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an odd update of a peer that ends the tick, or whose numbers overflow in sums. */
class OddPeerUpdateEndsTickTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("r1");
    private static final String INCOMPLETE = "Incomplete update of a peer ignored.";

    private final ForwardingFixture router = new ForwardingFixture().configured();

    private static EntryVm peer(int number) {
        return new EntryVm(
                new EntryVmId("vm-" + number), new FailureDomain("lima-a"), "10.0.0." + number + ":7000", false);
    }

    private void receive(int peer, Consumer<ForwardingNewsBuilder> content) {
        ForwardingNewsBuilder update = PeerMessage.ForwardingNews.builder(peer(peer), 1);
        content.accept(update);
        router.tick(new ForwardingInput.PeerMessageReceived(peer(peer).id(), update.build()));
    }

    private static <T> List<T> listOfNull() {
        List<T> list = new ArrayList<>();
        list.add(null);
        return list;
    }

    static Stream<Consumer<ForwardingNewsBuilder>> incompleteUpdates() {
        return Stream.of(
                update -> update.items(listOfNull(), 1),
                update -> update.items(List.of(new PeerMessage.RelayedItem(null, 1, false, new byte[0])), 1),
                update -> update.items(List.of(new PeerMessage.RelayedItem("a", 1, false, null)), 1),
                update -> update.items(List.of(), Long.MAX_VALUE),
                update -> update.items(List.of(), -1),
                update -> update.work(listOfNull()),
                update -> update.domains(List.of(new PeerMessage.DomainWork(null, List.of()))),
                update -> update.weights(listOfNull()),
                update -> update.crashes(List.of(new PeerMessage.SeenCrash(1, null, null))),
                update -> update.clearedParts(listOfNull()),
                update -> update.reads(List.of(new PeerMessage.ReadParts(UPSTREAM, null, new long[0]))),
                update -> update.caches(
                        List.of(new PeerMessage.CacheChanges(UPSTREAM, true, null, null, "vm-2/1", 1, false))),
                update -> update.leaving(listOfNull()),
                update -> update.startedStreams(List.of(new PeerMessage.StartedStreams("s", "v1", null))),
                update -> update.streamQueries(List.of(new PeerMessage.StreamQuery(1, null))),
                update -> update.streamReplies(List.of(new PeerMessage.StreamReply(1, true, null, null, null, 1))),
                update -> update.openStreamQueries(List.of(new PeerMessage.OpenStreamQuery(null, 1))),
                update ->
                        update.openStreamReplies(List.of(new PeerMessage.OpenStreamReply("tutors", 1, listOfNull()))));
    }

    @ParameterizedTest
    @MethodSource("incompleteUpdates")
    void should_ignore_and_log_once_an_update_with_a_part_missing(Consumer<ForwardingNewsBuilder> content) {
        router.register(router.recordService("r1")).start();
        for (int repetition = 0; repetition < 3; repetition++) {
            receive(2, content);
        }
        router.advanceTime(500);
        assertThat(router.all(ForwardingOutput.LogEvent.class))
                .extracting(ForwardingOutput.LogEvent::message)
                .containsOnlyOnce(INCOMPLETE);
        assertThat(router.all(ForwardingOutput.Count.class))
                .filteredOn(count -> count.metric().equals("peers.incomplete-updates"))
                .hasSize(3);
        assertThat(router.sends(router.call("/issue/1"))).hasSize(1);
    }

    @Test
    void should_not_take_an_upstream_for_free_when_the_work_of_peers_overflows() {
        router.register(router.recordService("r1"))
                .register(router.recordService("r2"))
                .start();
        for (int peer = 2; peer <= 3; peer++) {
            receive(
                    peer,
                    update -> update.work(List.of(new PeerMessage.UpstreamWork(
                            UPSTREAM, Integer.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE, 0, Long.MAX_VALUE))));
        }
        for (int number = 0; number < 5; number++) {
            assertThat(router.send(router.call("/issue/" + number)).dispatch().upstream())
                    .isEqualTo(new UpstreamId("r2"));
        }
    }

    @Test
    void should_ignore_a_limit_that_is_no_number_of_requests() {
        router.register(router.recordService("r1")).start();
        for (double limit : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY}) {
            receive(
                    2,
                    update ->
                            update.limits(List.of(new PeerMessage.NamedLimit(new UpstreamId("r1@1"), true, limit, 0))));
        }
        for (int number = 0; number < 5; number++) {
            assertThat(router.sends(router.call("/issue/" + number))).hasSize(1);
        }
        assertThat(router.all(ForwardingOutput.LogEvent.class))
                .extracting(ForwardingOutput.LogEvent::message)
                .doesNotContain("Request limit of an upstream changed.");
    }
}
