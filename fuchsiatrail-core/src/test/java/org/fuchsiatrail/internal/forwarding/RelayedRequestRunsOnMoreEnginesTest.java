package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that run on more engines than their routes allow, as each router counts its own attempts. */
class RelayedRequestRunsOnMoreEnginesTest {

    private static final int ROUTERS = 4;
    private static final int ENGINES = 10;
    private static final int REQUESTS = 12;
    private static final int ATTEMPTS_OF_ROUTE = 2;

    /** Longer than the time in which a router that has just started gives no attempt up, in milliseconds. */
    private static final long CALM_MILLIS = 6_000;

    private static final long CUT_MILLIS = 3_000;
    private static final long OUTCOME_MILLIS = 6_000;
    private static final long INTERVAL_MILLIS = 100;
    private static final long BREAK_INTERVAL_MILLIS = 300;
    private static final double LEAST_SHARE_OF_DIRECT = 0.9;

    /** How engines end the requests that they run. */
    enum Fault {
        SILENT(null),
        CLOSES(new AttemptEvent.Lost(true, true, "", "Remotely closed")),
        ANSWERS_ANOTHER(new AttemptEvent.Mismatched("another")),
        FAILS(new AttemptEvent.Answered(FleetEngine.failureHead())),
        /** Begins streams, and breaks them off before they end. */
        BREAKS_OFF(null);

        private final Optional<AttemptEvent> end;

        Fault(AttemptEvent end) {
            this.end = Optional.ofNullable(end);
        }
    }

    private final EngineFleet fleet = new EngineFleet(83, ROUTERS, ENGINES);
    private List<FleetEngine> breaking = List.of();
    private int lastRequestNumber;

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += EngineFleet.STEP_MILLIS) {
            fleet.advanceTime();
            if (passed % BREAK_INTERVAL_MILLIS == 0) {
                breaking.forEach(fleet::breakConnections);
            }
        }
    }

    private List<FleetRequest> send(ForwardingFixture router, int count) {
        List<FleetRequest> sent = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String id = Integer.toString(++lastRequestNumber);
            sent.add(fleet.send(
                    router,
                    new ForwardedCall.PromptPart("course", 100),
                    new ForwardedCall.PromptPart("session-" + id, 100),
                    new ForwardedCall.PromptPart("request-" + id, 600)));
            advance(INTERVAL_MILLIS);
        }
        return sent;
    }

    private void startFault(Fault fault, int engines) {
        for (FleetEngine engine : fleet.firstEngines(engines)) {
            engine.failure = fault.end;
            engine.silentUntilMillis = fault == Fault.SILENT ? Long.MAX_VALUE : 0;
        }
        if (fault == Fault.BREAKS_OFF) {
            fleet.streamEvents(10, INTERVAL_MILLIS);
            breaking = fleet.firstEngines(engines);
        }
    }

    private Map<FleetRequest, Set<String>> enginesOf(List<FleetRequest> requests) {
        return fleet.arrivals().stream()
                .filter(arrival -> requests.contains(arrival.request()))
                .collect(Collectors.groupingBy(
                        EngineFleet.Arrival::request,
                        Collectors.mapping(EngineFleet.Arrival::engine, Collectors.toSet())));
    }

    @ParameterizedTest
    @CsvSource({
        "SILENT,RESETS",
        "SILENT,HANGS",
        "SILENT,REFUSES_NEW",
        "CLOSES,RESETS",
        "CLOSES,HANGS",
        "CLOSES,REFUSES_NEW",
        "ANSWERS_ANOTHER,RESETS",
        "ANSWERS_ANOTHER,HANGS",
        "FAILS,RESETS",
        "FAILS,HANGS",
        "BREAKS_OFF,RESETS",
        "BREAKS_OFF,HANGS",
        "BREAKS_OFF,REFUSES_NEW",
        "SILENT,",
        "CLOSES,",
        "ANSWERS_ANOTHER,",
        "FAILS,",
        "BREAKS_OFF,"
    })
    void should_run_no_request_on_more_engines_than_its_route_allows(Fault fault, PathCut cut) {
        ForwardingFixture entryRouter = fleet.routers.getFirst();
        advance(CALM_MILLIS);
        if (cut != null) {
            fleet.cutPaths(entryRouter, cut);
            send(entryRouter, REQUESTS);
            advance(CUT_MILLIS);
        }
        startFault(fault, ENGINES);
        List<FleetRequest> requests = send(entryRouter, REQUESTS);
        advance(OUTCOME_MILLIS);
        Map<FleetRequest, Set<String>> engines = enginesOf(requests);
        assertThat(engines).as("requests that reached engines").isNotEmpty();
        assertThat(engines.values())
                .allSatisfy(reached -> assertThat(reached).hasSizeLessThanOrEqualTo(ATTEMPTS_OF_ROUTE));
    }

    /** A third of the engines is faulty; most requests find another one at their second attempt. */
    @ParameterizedTest
    @CsvSource({
        "SILENT,RESETS",
        "CLOSES,RESETS",
        "CLOSES,HANGS",
        "ANSWERS_ANOTHER,RESETS",
        "FAILS,RESETS",
        "BREAKS_OFF,RESETS"
    })
    void should_serve_relayed_requests_as_often_as_direct_ones(Fault fault, PathCut cut) {
        ForwardingFixture cutOff = fleet.routers.getFirst();
        advance(CALM_MILLIS);
        fleet.cutPaths(cutOff, cut);
        send(cutOff, REQUESTS);
        advance(CUT_MILLIS);
        startFault(fault, ENGINES / 3);
        List<FleetRequest> relayed = new ArrayList<>();
        List<FleetRequest> direct = new ArrayList<>();
        for (int round = 0; round < 10; round++) {
            relayed.addAll(send(cutOff, REQUESTS));
            direct.addAll(send(fleet.routers.getLast(), REQUESTS));
        }
        advance(OUTCOME_MILLIS);
        assertThat(shareServed(relayed))
                .as("share of relayed requests that were served; direct %.2f", shareServed(direct))
                .isGreaterThanOrEqualTo(LEAST_SHARE_OF_DIRECT * shareServed(direct));
    }

    private static double shareServed(List<FleetRequest> requests) {
        return requests.stream()
                        .filter(request -> request.finished && !request.failed)
                        .count()
                / (double) requests.size();
    }
}
