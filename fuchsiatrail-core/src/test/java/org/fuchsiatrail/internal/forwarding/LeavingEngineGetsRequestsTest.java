package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests to an engine that said in an answer that it is leaving. */
class LeavingEngineGetsRequestsTest {

    /** The time to drain after such an answer, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final long CALM_MILLIS = 4_000;
    private static final long LEAVING_MILLIS = 6_000;
    private static final double LEAST_SHARE_OF_BEFORE = 2.0 / 3;
    private static final double STEPS_A_SECOND = 1_000.0 / EngineFleet.STEP_MILLIS;

    private final List<FleetRequest> requests = new ArrayList<>();
    private EngineFleet fleet;
    private int lastRequestPart;

    private FleetRequest sendOne() {
        int session = fleet.random.nextInt(200);
        FleetRequest request = fleet.send(
                new ForwardedCall.PromptPart("course-" + session % 2, 100),
                new ForwardedCall.PromptPart("session-" + session, 100),
                new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600));
        requests.add(request);
        return request;
    }

    private void sendFor(long millis, double requestsPerSecond) {
        long endMillis = fleet.now() + millis;
        while (fleet.now() < endMillis) {
            double mean = requestsPerSecond / STEPS_A_SECOND;
            int count = (int) mean + (fleet.random.nextDouble() < mean - (int) mean ? 1 : 0);
            for (int number = 0; number < count; number++) {
                sendOne();
            }
            fleet.advanceTime();
        }
    }

    private static boolean later(EngineFleet.Arrival arrival, EngineFleet.Answer answer) {
        return arrival.engine().equals(answer.engine())
                && arrival.request().sentAtMillis > answer.atMillis() + DRAIN_MILLIS;
    }

    /** The requests that reached an engine although their router had passed on such an answer in time. */
    private long requestsFromToldRouters() {
        List<EngineFleet.Answer> told = fleet.answers().stream()
                .filter(answer -> answer.head().leaving())
                .toList();
        return fleet.arrivals().stream()
                .filter(arrival -> told.stream()
                        .anyMatch(answer -> answer.router().equals(arrival.router()) && later(arrival, answer)))
                .count();
    }

    /** The same for all routers in touch with one that had passed on such an answer. */
    private long requestsFromAnyRouter(Set<EntryVmId> cutOff) {
        List<EngineFleet.Answer> told = fleet.answers().stream()
                .filter(answer -> answer.head().leaving() && !cutOff.contains(answer.router()))
                .toList();
        return fleet.arrivals().stream()
                .filter(arrival -> !cutOff.contains(arrival.router()))
                .filter(arrival -> told.stream().anyMatch(answer -> later(arrival, answer)))
                .count();
    }

    private double shareStarted(long fromMillis, long toMillis) {
        List<FleetRequest> sent = requests.stream()
                .filter(request -> request.sentAtMillis >= fromMillis && request.sentAtMillis < toMillis)
                .toList();
        return sent.stream().filter(request -> request.started).count() / (double) sent.size();
    }

    @ParameterizedTest
    @CsvSource({"3,6,60,0", "7,6,60,0", "7,6,60,2", "70,42,200,0", "70,42,200,10", "340,60,300,30"})
    void should_send_no_request_after_the_time_to_drain(
            int routers, int engines, double requestsPerSecond, int cutOffCount) {
        fleet = new EngineFleet(8, routers, engines);
        sendFor(CALM_MILLIS, requestsPerSecond);
        long leavingAtMillis = fleet.now();
        Set<EntryVmId> cutOff = new HashSet<>();
        for (ForwardingFixture router : fleet.routers.subList(0, cutOffCount)) {
            fleet.cutOff(router, LEAVING_MILLIS);
            cutOff.add(router.self().id());
        }
        fleet.firstEngines(engines / 3).forEach(engine -> engine.leaving = true);
        sendFor(LEAVING_MILLIS, requestsPerSecond);
        assertThat(requestsFromToldRouters())
                .as("requests from routers that had the answer")
                .isZero();
        assertThat(requestsFromAnyRouter(cutOff))
                .as("requests from all routers")
                .isZero();
        assertThat(shareStarted(leavingAtMillis, fleet.now() - 1_000))
                .as("requests begun while engines leave")
                .isGreaterThanOrEqualTo(
                        LEAST_SHARE_OF_BEFORE * shareStarted(leavingAtMillis - CALM_MILLIS + 1_000, leavingAtMillis));
    }

    @Test
    void should_let_streams_end_where_they_run() {
        fleet = new EngineFleet(9, 3, 3);
        sendFor(CALM_MILLIS, 30);
        fleet.firstEngines(1).forEach(engine -> engine.leaving = true);
        requests.clear();
        sendFor(1_000, 30);
        List<FleetRequest> sent = List.copyOf(requests);
        sendFor(2_000, 30);
        assertThat(sent).allMatch(request -> request.finished && request.sends == 1);
    }

    @Test
    void should_refuse_at_once_with_a_time_to_come_back_while_all_engines_leave() {
        fleet = new EngineFleet(10, 3, 3);
        sendFor(CALM_MILLIS, 30);
        fleet.firstEngines(3).forEach(engine -> engine.leaving = true);
        sendFor(1_000, 30);
        FleetRequest refused = sendOne();
        assertThat(refused.refusal).isEqualTo(ResultCode.NO_UPSTREAM);
        assertThat(refused.sends).isZero();
        assertThat(refused.retryAfterMillis).isBetween(100L, 1_000L);
        fleet.startEngine("v1");
        sendFor(1_000, 30);
        FleetRequest served = sendOne();
        sendFor(200, 30);
        assertThat(served.started).isTrue();
    }

    @Test
    void should_send_requests_to_an_engine_that_restarted_under_the_same_id() {
        ForwardingFixture fixture = new ForwardingFixture().configured();
        fixture.register(fixture.engine("e1", 1)).start();
        FleetEngine leaving = new FleetEngine("e1", "v1", 1);
        leaving.leaving = true;
        var request = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        fixture.deliverEvent(fixture.send(request), new AttemptEvent.Started(leaving.head(), "1"));
        var second = fixture.call("/ask/2", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "p"));
        assertThat(fixture.sends(second)).isEmpty();
        fixture.register(ForwardingFixture.entry("e1", "tutors", 64, Map.of(ForwardingFixture.MODEL, 1L), false, 2));
        var third = fixture.call("/ask/3", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "q"));
        assertThat(fixture.sends(third)).hasSize(1);
    }
}
