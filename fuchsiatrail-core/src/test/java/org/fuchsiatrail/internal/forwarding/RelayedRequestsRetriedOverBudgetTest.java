package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against retries over the budget of all routers, as the routers that relay a request both count it. */
class RelayedRequestsRetriedOverBudgetTest {

    private static final int ROUTERS = 6;
    private static final int ENGINES = 20;
    private static final long CALM_MILLIS = 6_000;
    private static final int REQUESTS_A_STEP = 6;

    private final EngineFleet fleet = new EngineFleet(83, ROUTERS, ENGINES);
    private final ForwardingSettings settings =
            ForwardingSettings.builder().self(fleet.routers.getFirst().self()).build();
    private int lastRequestNumber;

    private void advance(long millis, int requestsAStep) {
        for (long passed = 0; passed < millis; passed += EngineFleet.STEP_MILLIS) {
            for (int number = 0; number < requestsAStep; number++) {
                String id = Integer.toString(++lastRequestNumber);
                fleet.send(
                        fleet.routers.get(lastRequestNumber % ROUTERS),
                        new ForwardedCall.PromptPart("course", 100),
                        new ForwardedCall.PromptPart("session-" + id, 100),
                        new ForwardedCall.PromptPart("request-" + id, 600));
            }
            fleet.advanceTime();
        }
    }

    /** All engines fail or turn requests away, so that each request is sent again as long as the budget lasts. */
    @ParameterizedTest
    @CsvSource({"0,true", "0,false", "4,true", "4,false", "5,true", "5,false"})
    void should_send_no_more_retries_than_the_budget_of_all_routers_allows(int cutOff, boolean executed) {
        advance(CALM_MILLIS, 0);
        List<ForwardingFixture> cut = fleet.routers.subList(0, cutOff);
        cut.forEach(router -> fleet.cutPaths(router, PathCut.RESETS));
        for (FleetEngine engine : fleet.firstEngines(ENGINES)) {
            engine.refusing = !executed;
            engine.failure =
                    executed ? Optional.of(new AttemptEvent.Answered(FleetEngine.failureHead())) : Optional.empty();
        }
        advance(settings.retryWindowMillis(), REQUESTS_A_STEP);
        long arrived = fleet.arrivals().size();
        long first = fleet.arrivals().stream()
                .map(EngineFleet.Arrival::request)
                .distinct()
                .count();
        double allowed = settings.retryRatio() * fleet.sentRequests().size() + settings.retryReserve();
        assertThat(arrived - first)
                .as(
                        "retries; %.0f allowed for %d requests",
                        allowed, fleet.sentRequests().size())
                .isPositive()
                .isLessThanOrEqualTo((long) allowed);
    }
}
