package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.ForwardedCall;

/** Requests of 200 sessions at random routers of an {@link EngineFleet}. */
final class FleetTraffic {

    private static final double STEPS_A_SECOND = 1_000.0 / EngineFleet.STEP_MILLIS;
    private static final int SESSIONS = 200;

    private final EngineFleet fleet;
    private final List<FleetRequest> requests = new ArrayList<>();
    private int lastRequestPart;

    FleetTraffic(EngineFleet fleet) {
        this.fleet = fleet;
    }

    FleetRequest sendOne() {
        int session = fleet.random.nextInt(SESSIONS);
        FleetRequest request = fleet.send(
                new ForwardedCall.PromptPart("course-" + session % 2, 100),
                new ForwardedCall.PromptPart("session-" + session, 100),
                new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600));
        requests.add(request);
        return request;
    }

    void sendFor(long millis, double requestsPerSecond) {
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

    /** The requests that callers sent from a time on. */
    List<FleetRequest> sentFrom(long millis) {
        return requests.stream()
                .filter(request -> request.sentAtMillis >= millis)
                .toList();
    }

    /** The share of the requests sent in a time that an engine began to answer. */
    double shareStarted(long fromMillis, long toMillis) {
        List<FleetRequest> sent = sentFrom(fromMillis).stream()
                .filter(request -> request.sentAtMillis < toMillis)
                .toList();
        return sent.stream().filter(request -> request.started).count() / (double) sent.size();
    }
}
