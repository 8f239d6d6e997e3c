package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingOutput;

/** The requests that routers of an {@link EngineFleet} relay to each other. */
final class FleetRelays {

    private final EngineFleet fleet;
    /** The attempts of other routers that a router answers, by its id and its id of the request. */
    private final Map<String, FleetAttempt> attempts = new HashMap<>();

    FleetRelays(EngineFleet fleet) {
        this.fleet = fleet;
    }

    private static String key(ForwardingFixture router, RequestId request) {
        return router.self().id() + "/" + request;
    }

    /** Sends a request on to another router, whose answer comes back as that of the attempt. */
    void relay(ForwardingFixture router, ForwardingOutput.Send send) {
        FleetRequest request = fleet.request(router, send.request());
        request.sends++;
        FleetAttempt attempt = new FleetAttempt(router, request, null, send);
        fleet.open(attempt);
        if (fleet.paths.timesOutToRouter(router)) {
            fleet.failToConnect(attempt, true);
            return;
        }
        fleet.after(
                1 + fleet.paths.delayMillis(router),
                () -> fleet.routers.stream()
                        .filter(other -> !fleet.isCutOff(other))
                        .filter(other -> ("router/" + other.self().id())
                                .equals(send.dispatch().upstream().value()))
                        .findFirst()
                        .ifPresent(other -> receive(other, attempt)));
    }

    private void receive(ForwardingFixture router, FleetAttempt attempt) {
        ForwardingOutput.Send send = attempt.send();
        router.now = Math.max(router.now, fleet.now());
        RequestId id = router.relay(attempt.router().calls.get(send.request()), send.dispatch());
        fleet.register(router, attempt.request(), id);
        attempts.put(key(router, id), attempt);
        fleet.execute(router);
    }

    /** Passes on what the router of an attempt receives to the router that relayed the request, if there is one. */
    void answer(FleetAttempt attempt, Consumer<FleetAttempt> answer) {
        answer(attempt.router(), attempt.send().request(), answer);
    }

    private void answer(ForwardingFixture router, RequestId request, Consumer<FleetAttempt> answer) {
        FleetAttempt relayed = attempts.get(key(router, request));
        if (relayed != null && fleet.isOpen(relayed)) {
            answer.accept(relayed);
        }
    }

    /** Delivers the begin of a stream, or a failure, to the router that relayed the request, if there is one. */
    void deliver(ForwardingFixture router, RequestId request, boolean failed) {
        answer(router, request, relayed -> {
            if (failed) {
                refuse(
                        relayed,
                        AttemptEvent.Head.builder(500)
                                .verified(true)
                                .ranAt(lastUpstream(relayed))
                                .build());
            } else {
                String eventId = relayed.request().stream.lastEventId();
                fleet.deliver(
                        relayed,
                        new AttemptEvent.Started(
                                AttemptEvent.Head.builder(200)
                                        .verified(true)
                                        .ranAt(lastUpstream(relayed))
                                        .build(),
                                eventId));
            }
        });
    }

    /** Refuses a request if it was relayed; returns whether it was. */
    boolean refuse(ForwardingFixture router, ForwardingOutput.Refuse refuse) {
        FleetAttempt relayed = attempts.get(key(router, refuse.request()));
        if (relayed != null) {
            ResultCode code = refuse.code();
            refuse(
                    relayed,
                    AttemptEvent.Head.builder(code.httpStatus())
                            .withoutPath(code == ResultCode.WITHOUT_PATH)
                            .lostAt(code == ResultCode.ATTEMPT_LOST ? lastUpstream(relayed) : Optional.empty())
                            .build());
        }
        return relayed != null;
    }

    private Optional<UpstreamId> lastUpstream(FleetAttempt relayed) {
        return fleet.arrivals().reversed().stream()
                .filter(arrival -> arrival.request() == relayed.request())
                .findFirst()
                .map(arrival -> new UpstreamId(arrival.engine()));
    }

    private void refuse(FleetAttempt relayed, AttemptEvent.Head head) {
        relayed.request().failedAttempt = relayed.send().attempt();
        fleet.close(relayed, new AttemptEvent.Answered(head));
    }

    /** Aborts a stream if it was relayed; returns whether it was. */
    boolean abort(ForwardingFixture router, ForwardingOutput.AbortStream abort) {
        FleetAttempt relayed = attempts.get(key(router, abort.request()));
        if (relayed != null) {
            fleet.close(relayed, new AttemptEvent.Lost(true, true, "", "Remotely closed"));
        }
        return relayed != null;
    }

    /** Ends the attempts that other routers relayed to one that ended; its successor uses the same request ids. */
    void breakConnections(ForwardingFixture ended) {
        List<FleetAttempt> broken = new ArrayList<>();
        attempts.entrySet().removeIf(relayed -> {
            boolean concerned = relayed.getKey().startsWith(ended.self().id() + "/");
            if (concerned) {
                broken.add(relayed.getValue());
            }
            return concerned;
        });
        broken.forEach(fleet::breakOff);
    }
}
