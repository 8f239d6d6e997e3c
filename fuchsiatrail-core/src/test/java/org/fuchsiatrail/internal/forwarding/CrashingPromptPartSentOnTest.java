package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that are sent to further engines although their prompts share a part that crashed five. */
class CrashingPromptPartSentOnTest {

    private static final String CRASHING = "crashing";
    private static final int CRASHES = 5;
    /** The least number of crashes in a run, so that there is something to detect. */
    private static final int CRASHES_TO_DETECT = 3;

    private static final int SENDS_ALLOWED_AFTERWARDS = 3;

    /** The time after the fifth crash, or the last of fewer, from which sends count, in milliseconds. */
    private static final long DETECTION_MILLIS = 3_000;

    private static final long CALM_MILLIS = 6_000;
    private static final long DURATION_MILLIS = 20_000;
    private static final long STEPS_A_SECOND = 1_000 / EngineFleet.STEP_MILLIS;
    private static final int COURSES = 2;

    /** The least number of sound requests before and after for a comparison. */
    private static final int COMPARED_REQUESTS = 20;

    private final List<FleetRequest> sound = new ArrayList<>();
    private EngineFleet fleet;
    private int sessions;
    private int lastRequestPart;

    @ParameterizedTest
    @CsvSource({"3,6,30", "7,6,40", "70,42,200", "340,60,200"})
    void should_stop_sending_the_part_when_engines_close_their_connections(
            int routers, int engines, int requestsPerSecond) {
        run(routers, engines, requestsPerSecond, false);
    }

    @ParameterizedTest
    @CsvSource({"3,6,30", "7,6,40", "70,42,200", "340,60,200"})
    void should_stop_sending_the_part_when_engines_end_silently(int routers, int engines, int requestsPerSecond) {
        run(routers, engines, requestsPerSecond, true);
    }

    private void run(int routers, int engines, int requestsPerSecond, boolean silently) {
        fleet = new EngineFleet(7, routers, engines);
        fleet.crashOn(CRASHING, silently);
        sessions = engines * 6;
        long startMillis = fleet.now();
        while (fleet.now() < startMillis + DURATION_MILLIS) {
            sendSoundRequests(requestsPerSecond);
            if (fleet.now() > startMillis + CALM_MILLIS && fleet.random.nextInt(10) == 0) {
                sendCrashingRequest();
            }
            fleet.advanceTime();
        }
        assertThat(fleet.crashesAtMillis).hasSizeGreaterThanOrEqualTo(CRASHES_TO_DETECT);
        long fifthCrashMillis = fleet.crashesAtMillis.get(Math.min(CRASHES, fleet.crashesAtMillis.size()) - 1);
        assertThat(fleet.arrivals().stream()
                        .filter(arrival -> arrival.request().contains(CRASHING))
                        .filter(arrival -> arrival.atMillis() > fifthCrashMillis + DETECTION_MILLIS))
                .as("crashing requests sent on")
                .hasSizeLessThanOrEqualTo(SENDS_ALLOWED_AFTERWARDS);
        assertSoundRequestsAreServed(startMillis + CALM_MILLIS, fifthCrashMillis + 2 * DETECTION_MILLIS);
    }

    private void assertSoundRequestsAreServed(long calmUntilMillis, long servedFromMillis) {
        List<FleetRequest> before = sound.stream()
                .filter(request -> request.sentAtMillis < calmUntilMillis - 1_000)
                .toList();
        List<FleetRequest> after = sound.stream()
                .filter(request ->
                        request.sentAtMillis > servedFromMillis && request.sentAtMillis < fleet.now() - 1_000)
                .toList();
        assertThat(before).hasSizeGreaterThanOrEqualTo(COMPARED_REQUESTS);
        assertThat(after).hasSizeGreaterThanOrEqualTo(COMPARED_REQUESTS);
        assertThat(shareStarted(after)).as("sound requests begun").isGreaterThan(shareStarted(before) / 2);
        assertThat(after)
                .as("sound requests quarantined")
                .noneMatch(request -> request.refusal == ResultCode.UPSTREAM_FAILED);
    }

    private static double shareStarted(List<FleetRequest> requests) {
        return requests.stream().filter(request -> request.startedFirst).count() / (double) requests.size();
    }

    private void sendSoundRequests(int requestsPerSecond) {
        double mean = requestsPerSecond / (double) STEPS_A_SECOND;
        int count = (int) mean + (fleet.random.nextDouble() < mean - (int) mean ? 1 : 0);
        for (int number = 0; number < count; number++) {
            int session = fleet.random.nextInt(sessions);
            sound.add(fleet.send(course(session), session(session), requestPart()));
        }
    }

    /** Sends a request that shares a course, and often a session, with sound ones. */
    private void sendCrashingRequest() {
        int session = fleet.random.nextInt(sessions);
        ForwardedCall.PromptPart crashing = new ForwardedCall.PromptPart(CRASHING, 100);
        switch (fleet.random.nextInt(3)) {
            case 0 -> fleet.send(course(session), crashing, requestPart());
            case 1 -> fleet.send(course(session), session(session), crashing, requestPart());
            default -> fleet.send(course(session), crashing, session(session), requestPart());
        }
    }

    private static ForwardedCall.PromptPart course(int session) {
        return new ForwardedCall.PromptPart("course-" + session % COURSES, 100);
    }

    private static ForwardedCall.PromptPart session(int session) {
        return new ForwardedCall.PromptPart("session-" + session, 100);
    }

    private ForwardedCall.PromptPart requestPart() {
        return new ForwardedCall.PromptPart("request-" + ++lastRequestPart, 600);
    }
}
