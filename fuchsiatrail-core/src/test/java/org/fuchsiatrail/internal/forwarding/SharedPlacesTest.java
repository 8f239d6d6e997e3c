package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against routers that share places where neither the fleet nor its engines call for it. */
class SharedPlacesTest {

    private static final int ENGINES = 6;
    private static final long CALM_MILLIS = 2_000;
    private static final long FULL_MILLIS = 1_000;
    private static final double REQUESTS_PER_SECOND = 200;
    private static final String WITHOUT_PLACE = "all upstreams are full";

    private EngineFleet fleet;

    /** Lets all engines turn requests away for a time, and returns the requests of callers of that time. */
    private List<FleetRequest> sendToFullEngines(int routers, OptionalInt pacePercent) {
        fleet = new EngineFleet(5, routers, ENGINES);
        FleetTraffic traffic = new FleetTraffic(fleet);
        fleet.firstEngines(ENGINES).forEach(engine -> engine.pacePercent = pacePercent);
        traffic.sendFor(CALM_MILLIS, REQUESTS_PER_SECOND);
        long fullSinceMillis = fleet.now();
        fleet.firstEngines(ENGINES).forEach(engine -> engine.refusing = true);
        traffic.sendFor(FULL_MILLIS, REQUESTS_PER_SECOND);
        return traffic.sentFrom(fullSinceMillis);
    }

    private long refusedWithoutPlace(List<FleetRequest> requests) {
        return requests.stream()
                .filter(request -> fleet.log.refusal(request).contains(WITHOUT_PLACE))
                .count();
    }

    @ParameterizedTest
    @CsvSource({"7,100", "13,"})
    void should_decide_by_predicted_times_in_a_full_mesh_or_where_engines_tell_no_pace(int routers, Integer pace) {
        List<FleetRequest> requests =
                sendToFullEngines(routers, pace == null ? OptionalInt.empty() : OptionalInt.of(pace));
        assertThat(requests).isNotEmpty();
        assertThat(refusedWithoutPlace(requests)).isZero();
    }

    @ParameterizedTest
    @CsvSource({"13", "70"})
    void should_share_places_in_a_fleet_with_relays_whose_engines_tell_their_pace(int routers) {
        List<FleetRequest> requests = sendToFullEngines(routers, OptionalInt.of(100));
        assertThat(refusedWithoutPlace(requests)).isPositive();
    }
}
