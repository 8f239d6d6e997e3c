package org.fuchsiatrail.internal.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreItemContent;
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

    private EngineFleet fleet;
    private FleetTraffic traffic;

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

    @ParameterizedTest
    @CsvSource({"3,6,60,0", "7,6,60,0", "7,6,60,2", "70,42,200,0", "70,42,200,10", "340,60,300,30"})
    void should_send_no_request_after_the_time_to_drain(
            int routers, int engines, double requestsPerSecond, int cutOffCount) {
        fleet = new EngineFleet(8, routers, engines);
        traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, requestsPerSecond);
        long leavingAtMillis = fleet.now();
        Set<EntryVmId> cutOff = new HashSet<>();
        for (ForwardingFixture router : fleet.routers.subList(0, cutOffCount)) {
            fleet.cutOff(router, LEAVING_MILLIS);
            cutOff.add(router.self().id());
        }
        fleet.firstEngines(engines / 3).forEach(engine -> engine.leaving = true);
        traffic.sendFor(LEAVING_MILLIS, requestsPerSecond);
        assertThat(requestsFromToldRouters())
                .as("requests from routers that had the answer")
                .isZero();
        assertThat(requestsFromAnyRouter(cutOff))
                .as("requests from all routers")
                .isZero();
        assertThat(traffic.shareStarted(leavingAtMillis, fleet.now() - 1_000))
                .as("requests begun while engines leave")
                .isGreaterThanOrEqualTo(LEAST_SHARE_OF_BEFORE
                        * traffic.shareStarted(leavingAtMillis - CALM_MILLIS + 1_000, leavingAtMillis));
    }

    @Test
    void should_let_streams_end_where_they_run() {
        fleet = new EngineFleet(9, 3, 3);
        traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, 30);
        fleet.firstEngines(1).forEach(engine -> engine.leaving = true);
        long leavingAtMillis = fleet.now();
        traffic.sendFor(1_000, 30);
        List<FleetRequest> sent = traffic.sentFrom(leavingAtMillis);
        traffic.sendFor(2_000, 30);
        assertThat(sent).allMatch(request -> request.finished && request.sends == 1);
    }

    @Test
    void should_refuse_at_once_with_a_time_to_come_back_while_all_engines_leave() {
        fleet = new EngineFleet(10, 3, 3);
        traffic = new FleetTraffic(fleet);
        traffic.sendFor(CALM_MILLIS, 30);
        fleet.firstEngines(3).forEach(engine -> engine.leaving = true);
        traffic.sendFor(1_000, 30);
        FleetRequest refused = traffic.sendOne();
        assertThat(refused.refusal).isEqualTo(ResultCode.NO_UPSTREAM);
        assertThat(refused.sends).isZero();
        assertThat(refused.retryAfterMillis).isBetween(100L, 1_000L);
        fleet.startEngine("v1");
        traffic.sendFor(1_000, 30);
        FleetRequest served = traffic.sendOne();
        traffic.sendFor(200, 30);
        assertThat(served.started).isTrue();
    }

    @Test
    void should_tell_peers_of_a_leaving_engine() {
        ForwardingFixture fixture = new ForwardingFixture().configured();
        fixture.put("members/vm-2", new StoreItemContent.Member(new ForwardingFixture("vm-2").self(), "10.0.0.2:80"));
        fixture.register(fixture.engine("e1", 1)).start();
        FleetEngine leaving = new FleetEngine("e1", "v1", 1);
        leaving.leaving = true;
        var request = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        fixture.deliverEvent(fixture.send(request), new AttemptEvent.Started(leaving.head(), "1"));
        fixture.advanceTime(10);
        assertThat(fixture.all(ForwardingOutput.SendToPeer.class))
                .filteredOn(sent -> sent.message() instanceof PeerMessage.ForwardingNews news
                        && news.leaving().contains(new UpstreamId("e1@1")))
                .hasSize(1);
    }

    @Test
    void should_remember_a_leaving_engine_as_long_as_it_is_registered() {
        ForwardingFixture fixture = new ForwardingFixture().configured();
        fixture.register(fixture.engine("e1", 1)).start();
        FleetEngine leaving = new FleetEngine("e1", "v1", 1);
        leaving.leaving = true;
        var request = fixture.call("/ask/1", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "o"));
        fixture.deliverEvent(fixture.send(request), new AttemptEvent.Started(leaving.head(), "1"));
        fixture.advanceTime(1_800_000);
        var later = fixture.call("/ask/2", ForwardingFixture.KEY, ForwardingFixture.prompt("c", "s", "p"));
        assertThat(fixture.sends(later)).isEmpty();
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
