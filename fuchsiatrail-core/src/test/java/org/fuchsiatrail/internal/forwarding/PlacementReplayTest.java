package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.UpstreamLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work that goes by a constant speed, on virtual time: requests that wait at a home engine or are
 * refused while others idle, and slow engines that get as much as fast ones. The engines read one prompt after
 * the other, and fetch in no time what the engine that a request names has cached.
 */
class PlacementReplayTest {

    private static final int RELAYED_FLEET = GossipTopology.MAXIMUM_FULL_MESH_SIZE + 1;
    private static final double TOKENS_PER_MILLISECOND = 82;
    private static final long OWN_TOKENS = 2_900;
    private static final long FIRST_TOKENS = 2_500;
    private static final long SESSION_TOKENS = 3_800;

    private final ForwardingFixture router = new ForwardingFixture();
    private final SplittableRandom random = new SplittableRandom(11);
    private final Map<String, Double> freeAtMillis = new HashMap<>();
    private final Map<String, Double> slownessByEngine = new HashMap<>();
    private final Map<String, String> engineByAddress = new HashMap<>();
    private final Set<String> cached = new HashSet<>();
    private final PriorityQueue<FirstEvent> pending = new PriorityQueue<>(Comparator.comparingDouble(FirstEvent::at));
    private final List<Double> firstEventMillis = new ArrayList<>();
    private OptionalInt pacePercent = OptionalInt.of(100);
    private int choices;
    private int refused;
    private int readAgain;

    private record FirstEvent(double at, ForwardingOutput.Send send) {}

    private void start(int routers, int engines, int slowEngines) {
        router.configured();
        for (int number = 1; number <= routers; number++) {
            router.put(
                    "members/vm-" + number,
                    new StoreItemContent.Member(new EntryVm(
                            new EntryVmId("vm-" + number),
                            new FailureDomain("lima-a"),
                            "10.0.0." + number + ":7000",
                            false)));
        }
        for (int number = 0; number < engines; number++) {
            String engine = "engine-" + number;
            router.register(router.engine(engine, 1));
            engineByAddress.put(router.engine(engine, 1).address(), engine);
            slownessByEngine.put(engine, number < slowEngines ? 4.0 : 1.0);
        }
        router.start();
        router.advanceTime(60);
    }

    /** Shows the router how fast the engines are. */
    private void warmUp() {
        replay(2_000, 0.02, () -> 1);
        firstEventMillis.clear();
        readAgain = 0;
        refused = 0;
    }

    private void replay(long millis, double requestsPerMillisecond, IntSupplier sessions) {
        long end = router.now + millis;
        double arrivals = 0;
        while (router.now < end || !pending.isEmpty()) {
            for (arrivals += router.now < end ? requestsPerMillisecond : 0; arrivals >= 1; arrivals--) {
                submit(sessions.getAsInt());
            }
            while (!pending.isEmpty() && pending.peek().at() <= router.now) {
                answer(pending.poll().send());
            }
            router.advanceTime(1);
            router.outputs.clear();
        }
    }

    private void answer(ForwardingOutput.Send send) {
        AttemptEvent.Head head = AttemptEvent.Head.builder(200)
                .verified(true)
                .load(Optional.of(new UpstreamLoad(1, 0, 6, pacePercent)))
                .build();
        router.deliverEvent(send, new AttemptEvent.Started(head, "1"));
        router.deliverEvent(send, new AttemptEvent.Finished());
    }

    /** Four of five sessions begin with one of four first parts, the others with one of 48. */
    private static int firstPart(int session) {
        return session % 5 == 0 ? 4 + session / 5 % 48 : session % 4;
    }

    private void submit(int session) {
        int firstPart = firstPart(session);
        RequestId request = router.call(
                "/mark/1",
                ForwardingFixture.KEY,
                ForwardingFixture.prompt("course-" + firstPart, "session-" + session, "own-" + router.now));
        if (router.refusal(request).isPresent()) {
            refused++;
            return;
        }
        ForwardingOutput.Send send = router.send(request);
        String engine = send.dispatch().upstream().value();
        choices = 31 * choices + engine.hashCode();
        String source = send.dispatch().fetchFrom().map(engineByAddress::get).orElse(engine);
        double tokens = OWN_TOKENS
                + read(engine, source, "course-" + firstPart, FIRST_TOKENS)
                + read(engine, source, "session-" + session, SESSION_TOKENS);
        double at = Math.max(router.now, freeAtMillis.getOrDefault(engine, 0.0))
                + tokens * slownessByEngine.get(engine) / TOKENS_PER_MILLISECOND;
        freeAtMillis.put(engine, at);
        firstEventMillis.add(at - router.now);
        pending.add(new FirstEvent(at, send));
    }

    private long read(String engine, String source, String part, long tokens) {
        boolean hit = cached.contains(engine + part) || cached.contains(source + part);
        readAgain += !hit && cached.contains(part) ? tokens : 0;
        cached.add(engine + part);
        cached.add(part);
        return hit ? 0 : tokens;
    }

    @ParameterizedTest
    @CsvSource({"1, 100, -660076187", "13, , -660076187"})
    void should_choose_as_before_in_a_full_mesh_and_where_engines_do_not_tell_their_pace(
            int routers, Integer pace, int choicesBefore) {
        pacePercent = pace == null ? OptionalInt.empty() : OptionalInt.of(pace);
        start(routers, 24, 0);
        replay(2_000, 0.3, () -> random.nextInt(200));
        assertThat(choices).isEqualTo(choicesBefore);
    }

    @Test
    void should_spread_a_hot_session_over_idle_engines_without_reading_its_parts_again() {
        start(RELAYED_FLEET, 98, 0);
        warmUp();
        replay(2_000, 0.3, () -> random.nextInt(10) < 9 ? 1 : 2 + random.nextInt(300));
        assertThat(refused).isZero();
        assertThat(firstEventMillis.stream().filter(millis -> millis > 400).count())
                .isLessThan(6);
        assertThat(readAgain).isLessThan(300_000);
    }

    @Test
    void should_refuse_nothing_that_faster_engines_than_assumed_can_answer() {
        start(RELAYED_FLEET, 24, 0);
        warmUp();
        int capacityPercent = 80;
        replay(2_000, 24 * TOKENS_PER_MILLISECOND / OWN_TOKENS * capacityPercent / 100, () -> random.nextInt(24));
        assertThat(refused).isLessThan(firstEventMillis.size() / 50);
    }

    @Test
    void should_give_engines_of_unequal_speed_the_work_that_each_can_do() {
        start(RELAYED_FLEET, 24, 6);
        warmUp();
        long begin = router.now;
        replay(3_000, (18 + 6 / 4.0) * TOKENS_PER_MILLISECOND / OWN_TOKENS, () -> random.nextInt(96));
        double latest = 0;
        double sum = 0;
        for (double freeAt : freeAtMillis.values()) {
            latest = Math.max(latest, freeAt - begin);
            sum += freeAt - begin;
        }
        assertThat(latest * freeAtMillis.size() / sum).isLessThanOrEqualTo(1.25);
    }
}
