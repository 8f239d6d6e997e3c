package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;

import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that cannot be taken up at other routers, after links between routers were silent around the
 * releases of their engines.
 */
class StreamsTakenUpAfterSilentLinksTest {

    private static final int ENGINES = 6;
    private static final long CONTACT_MILLIS = 3_000;

    /** Within this time a silent connection is replaced: two thirds of the contact time, and a handshake. */
    private static final long LONGEST_SILENCE_MILLIS = 2_100;

    private static final long REPLACEMENT_MILLIS = 1_000;
    private static final int STREAMS = 30;
    private static final int TAKE_UPS = 3;
    private static final double SHARE_OF_NEW_STREAMS = 0.5;

    /** Which links go silent. */
    enum Links {
        ALL((from, to) -> true),
        ONE_DIRECTION((from, to) -> from < to),
        OF_ONE_ROUTER((from, to) -> from == 1 || to == 1);

        private final BiPredicate<Integer, Integer> selection;

        Links(BiPredicate<Integer, Integer> selection) {
            this.selection = selection;
        }
    }

    private EngineFleet fleet;
    private Links links;
    private int lastRequestPart;

    /** The silence begins so long after the first release; that takes 3 s, and so does the second one, 3 s later. */
    @ParameterizedTest
    @CsvSource({
        "3, ALL, -6000",
        "3, ONE_DIRECTION, -6000",
        "3, OF_ONE_ROUTER, -6000",
        "3, ALL, 1000",
        "3, ONE_DIRECTION, 4500",
        "3, ALL, 4500",
        "3, OF_ONE_ROUTER, 4500",
        "3, ALL, 8500",
        "15, ALL, -6000",
        "15, ALL, 4500",
        "15, ONE_DIRECTION, 4500"
    })
    void should_take_up_as_many_streams_as_begin(int routers, Links silentLinks, long silentAtMillis) {
        assertThat(shareTakenUp(routers, silentLinks, List.of(silentAtMillis))).isGreaterThan(SHARE_OF_NEW_STREAMS);
    }

    @ParameterizedTest
    @CsvSource({"3, ALL", "3, ONE_DIRECTION", "15, ALL"})
    void should_take_up_as_many_streams_as_begin_after_two_silences(int routers, Links silentLinks) {
        assertThat(shareTakenUp(routers, silentLinks, List.of(-6_000L, 4_500L))).isGreaterThan(SHARE_OF_NEW_STREAMS);
    }

    /** Plays silences around two releases, then the end of a router; returns the share of its streams that go on. */
    private double shareTakenUp(int routers, Links silentLinks, List<Long> silentAtMillis) {
        fleet = new EngineFleet(routers, routers, ENGINES);
        fleet.streamEvents(40, 100);
        links = silentLinks;
        long releaseMillis = fleet.now() + 15_000;
        silentAtMillis.forEach(millis -> fleet.after(releaseMillis + millis - fleet.now(), this::beginSilence));
        runUntil(releaseMillis);
        replaceHalfOfTheEngines();
        runUntil(fleet.now() + CONTACT_MILLIS);
        replaceHalfOfTheEngines();
        runUntil(fleet.now() + 2 * CONTACT_MILLIS);
        List<FleetRequest> streams = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            streams.add(send(0));
            runUntil(fleet.now() + EngineFleet.STEP_MILLIS);
        }
        runUntil(fleet.now() + 500);
        fleet.restart(0);
        List<FleetRequest> broken = streams.stream()
                .filter(stream -> stream.broken && !stream.stream.firstAttemptId.isEmpty())
                .toList();
        assertThat(broken).hasSizeGreaterThanOrEqualTo(12);
        return broken.stream().filter(this::goesOn).count() / (double) broken.size();
    }

    private void beginSilence() {
        forEachLink((from, to) -> fleet.paths.silence.begin(from, to));
        fleet.after(LONGEST_SILENCE_MILLIS, () -> forEachLink((from, to) -> fleet.paths.silence.end(from, to)));
    }

    private void forEachLink(BiConsumer<ForwardingFixture, ForwardingFixture> action) {
        for (int from = 0; from < fleet.routers.size(); from++) {
            for (int to = 0; to < fleet.routers.size(); to++) {
                if (from != to && links.selection.test(from, to)) {
                    action.accept(fleet.routers.get(from), fleet.routers.get(to));
                }
            }
        }
    }

    private void replaceHalfOfTheEngines() {
        for (int number = 0; number < ENGINES / 2; number++) {
            fleet.replaceOldestEngine("v2");
            runUntil(fleet.now() + REPLACEMENT_MILLIS);
        }
    }

    private boolean goesOn(FleetRequest broken) {
        boolean goesOn = false;
        for (int attempt = 0; attempt < TAKE_UPS && !goesOn; attempt++) {
            int router = 1 + (attempt + lastRequestPart++) % (fleet.routers.size() - 1);
            FleetRequest resumption = fleet.resume(broken, fleet.routers.get(router));
            runUntil(fleet.now() + 600);
            goesOn = resumption.started;
        }
        return goesOn;
    }

    private FleetRequest send(int router) {
        return fleet.send(
                fleet.routers.get(router),
                new ForwardedCall.PromptPart("course-" + lastRequestPart % 5, 198),
                new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 628));
    }

    private void runUntil(long millis) {
        while (fleet.now() < millis) {
            fleet.advanceTime();
        }
    }
}
