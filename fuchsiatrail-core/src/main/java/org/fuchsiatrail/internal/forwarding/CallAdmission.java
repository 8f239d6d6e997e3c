package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.internal.admission.AdmissionDecision;
import org.fuchsiatrail.internal.admission.AgedNews;
import org.fuchsiatrail.internal.admission.PredictedTimeDecision;
import org.fuchsiatrail.internal.admission.SendDecision;
import org.fuchsiatrail.internal.admission.ServiceAdmission;
import org.fuchsiatrail.internal.admission.StandingQueue;
import org.fuchsiatrail.internal.admission.UpstreamRefusals;
import org.fuchsiatrail.internal.admission.UpstreamRoom;
import org.fuchsiatrail.internal.admission.WaitingOrder;

/** Tells the admission decisions what this router knows of a request and of the upstreams of its service. */
final class CallAdmission {

    /** The fraction of the latency target that a request may spend waiting for a place; the rest is for its answer. */
    private static final double WAIT_FRACTION = 0.5;

    /**
     * How long an upstream is treated as overloaded after it rejected a request, in milliseconds; half the time of a
     * short call.
     */
    private static final long OVERLOADED_MILLIS = 40;

    /** How long a load report is valid, in milliseconds. */
    private static final long LOAD_VALIDITY_MILLIS = 400;

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final UpstreamTable upstreams;
    private final Map<String, ServiceAdmission> admissionByService = new HashMap<>();

    CallAdmission(ForwardingContext context, StoreReplica storeReplica, UpstreamTable upstreams) {
        this.context = context;
        this.storeReplica = storeReplica;
        this.upstreams = upstreams;
    }

    /**
     * Returns whether routers share the places of a service: its upstreams tell how long work takes on their machines
     * now, and routers hear of each other's requests through relays.
     */
    private boolean sharesPlaces(String service) {
        return GossipTopology.usesRelays(storeReplica.memberCount())
                && upstreams.activeUpstreams(service).stream().anyMatch(UpstreamState::tellsPace);
    }

    /** Returns the upstreams that are believed to have a place; a broken stream may ask any if none has. */
    List<UpstreamState> withPlace(PendingCall pending, List<UpstreamState> upstreams) {
        if (!sharesPlaces(pending.service)) {
            return upstreams;
        }
        List<UpstreamState> withPlace = new ArrayList<>();
        List<UpstreamRoom> rooms = rooms(pending.service, upstreams);
        for (int index = 0; index < upstreams.size(); index++) {
            if (rooms.get(index).hasPlace()) {
                withPlace.add(upstreams.get(index));
            }
        }
        return withPlace.isEmpty() && pending.streamBegun ? upstreams : withPlace;
    }

    /**
     * Decides what becomes of a request that may go to some upstreams.
     *
     * @param pending the request
     * @param upstreams the upstreams that may receive it, whether or not they have a place
     * @param placement where it would go, or empty if none has a place
     * @param budgetLeft whether the retry budget allows another send
     */
    SendDecision decide(
            PendingCall pending,
            List<UpstreamState> upstreams,
            Optional<UpstreamPlacement.Placement> placement,
            boolean budgetLeft) {
        if (!sharesPlaces(pending.service)) {
            return decideByPrediction(pending, placement.orElseThrow(), budgetLeft);
        }
        ServiceAdmission admission = admission(pending.service);
        ServiceAdmission.Fleet fleet = fleet(pending, upstreams);
        int ahead = admission.ahead(pending.request, waiting(pending));
        boolean mayUsePlace = pending.streamBegun || admission.mayUsePlace(fleet, ahead, context.now());
        AdmissionDecision.Target target =
                placement.filter(placed -> mayUsePlace).map(this::target).orElse(new AdmissionDecision.AllFull());
        long targetMillis = pending.route.latencyTargetMillis();
        StandingQueue queue = admission.queue(pending.route.name());
        queue.observe(predictedMillis(target), targetMillis, context.now());
        boolean firstAttempt = pending.isFirstAttempt();
        if (!firstAttempt && !budgetLeft && pending.state != PendingCall.State.WAITING) {
            context.count("retries.over-budget");
        }
        SendDecision decision = AdmissionDecision.decide(new AdmissionDecision.Situation(
                target,
                firstAttempt,
                budgetLeft,
                pending.streamBegun || !pending.mayHaveRun(),
                UpstreamPlacement.isShort(pending.call.inputTokens()),
                queue.stands(targetMillis, context.now()),
                ahead,
                admission.placeMillis(fleet),
                targetMillis,
                waitUntilMillis(pending),
                pending.deadlineAtMillis,
                context.now()));
        return record(pending, admission, fleet, target, decision);
    }

    private SendDecision decideByPrediction(
            PendingCall pending, UpstreamPlacement.Placement placement, boolean budgetLeft) {
        boolean firstAttempt = pending.isFirstAttempt();
        if (!firstAttempt && !budgetLeft) {
            context.count("retries.over-budget");
        }
        return PredictedTimeDecision.decide(new PredictedTimeDecision.Situation(
                placement.predictedMillis(),
                firstAttempt,
                budgetLeft,
                UpstreamPlacement.isShort(pending.call.inputTokens()),
                pending.streamBegun,
                pending.route.latencyTargetMillis(),
                pending.placementDeadlineMillis,
                pending.deadlineAtMillis,
                context.now()));
    }

    /** Records a decision, and books the return of a caller who is refused. */
    private SendDecision record(
            PendingCall pending,
            ServiceAdmission admission,
            ServiceAdmission.Fleet fleet,
            AdmissionDecision.Target target,
            SendDecision decision) {
        return switch (decision) {
            case SendDecision.Send send -> {
                admission.endWait(pending.request);
                admission.recordSend(fleet, context.now());
                yield send;
            }
            case SendDecision.Wait wait -> {
                if (target instanceof AdmissionDecision.AllFull
                        && admission.beginWait(pending.request, waiting(pending))) {
                    // Counts requests that wait in this router as all upstreams are believed full.
                    context.count("requests.waiting-for-places");
                }
                yield wait;
            }
            case SendDecision.Refuse refuse -> {
                admission.endWait(pending.request);
                if (target instanceof AdmissionDecision.AllFull) {
                    // Counts requests that are refused as all upstreams are believed full.
                    context.count("requests.refused-without-place");
                }
                long retryAfterMillis = admission.bookReturn(
                        admission.placeMillis(fleet),
                        refuse.retryAfterMillis(),
                        pending.deadlineAtMillis - context.now(),
                        context.now(),
                        context.random());
                yield new SendDecision.Refuse(refuse.code(), retryAfterMillis, refuse.reason());
            }
        };
    }

    /** Records that a request waits for no place any more. */
    void endWait(PendingCall pending) {
        admission(pending.service).endWait(pending.request);
    }

    /** Records that an upstream turned away the attempt in flight of a request. */
    void recordRefusal(PendingCall pending, AttemptEvent.Head head) {
        boolean shares = sharesPlaces(pending.service) && !pending.relayed;
        if (!shares || pending.streamBegun || pending.mayHaveRun()) {
            pending.excludedUpstreams.add(pending.upstream.id());
        }
        if (!shares) {
            pending.upstream.overloadedUntilMillis = context.now() + OVERLOADED_MILLIS;
            return;
        }
        ServiceAdmission admission = admission(pending.service);
        int occupancy = pending.upstream.running(context.now());
        admission
                .refusals()
                .record(new UpstreamRefusals.Observation(
                        pending.upstream.id(),
                        slots(pending.upstream),
                        occupancy,
                        head.load(),
                        admission.rate().placeMillis(occupancy, storeReplica.memberCount()),
                        pending.route.latencyTargetMillis(),
                        context.now()));
    }

    /** Records that an upstream completed the attempt in flight of a request. */
    void recordCompletion(PendingCall pending) {
        if (pending.relayed) {
            return;
        }
        ServiceAdmission admission = admission(pending.service);
        admission.rate().record(context.now() - pending.upstream.sentAtMillis(pending.attempt, context.now()));
        admission.refusals().placeCameFree(pending.upstream.id());
    }

    private AdmissionDecision.Target target(UpstreamPlacement.Placement placement) {
        UpstreamState upstream = placement.upstream();
        boolean idle = UpstreamPlacement.hasPlace(upstream, context.now())
                && upstream.pendingPromptTokens(context.now(), false) == 0;
        return new AdmissionDecision.AtUpstream(placement.predictedMillis(), idle);
    }

    private static double predictedMillis(AdmissionDecision.Target target) {
        return switch (target) {
            case AdmissionDecision.AtUpstream upstream -> upstream.predictedMillis();
            case AdmissionDecision.AllFull full -> Double.MAX_VALUE;
        };
    }

    private static long waitUntilMillis(PendingCall pending) {
        long withinTargetMillis =
                pending.receivedAtMillis + Math.round(pending.route.latencyTargetMillis() * WAIT_FRACTION);
        return pending.streamBegun || pending.mayHaveRun()
                ? pending.placementDeadlineMillis
                : Math.max(pending.placementDeadlineMillis, withinTargetMillis);
    }

    private static WaitingOrder.Waiting waiting(PendingCall pending) {
        return new WaitingOrder.Waiting(
                pending.priority(), pending.receivedAtMillis + pending.route.latencyTargetMillis());
    }

    private ServiceAdmission.Fleet fleet(PendingCall pending, List<UpstreamState> upstreams) {
        int priority = pending.priority();
        int own = 0;
        int ownBefore = 0;
        for (UpstreamState upstream : upstreams) {
            own += upstream.inFlight.size();
            ownBefore += (int) upstream.inFlight.values().stream()
                    .filter(attempt -> attempt.priority <= priority)
                    .count();
        }
        return new ServiceAdmission.Fleet(
                rooms(pending.service, upstreams), own, ownBefore, storeReplica.memberCount(), newsAgeMillis());
    }

    private List<UpstreamRoom> rooms(String service, List<UpstreamState> upstreams) {
        ServiceAdmission admission = admission(service);
        int[] others = upstreams.stream()
                .mapToInt(upstream -> upstream.running(context.now()) - upstream.inFlight.size())
                .toArray();
        double mean = Arrays.stream(others).average().orElse(0);
        List<UpstreamRoom> rooms = new ArrayList<>();
        for (int index = 0; index < others.length; index++) {
            UpstreamState upstream = upstreams.get(index);
            int expected = AgedNews.expected(
                    others[index], mean, newsAgeMillis(), admission.rate().stayMillis());
            int occupancy = Math.max(upstream.inFlight.size() + expected, reportedRequests(upstream));
            rooms.add(admission.refusals().room(upstream.id(), slots(upstream), occupancy, context.now()));
        }
        return rooms;
    }

    private static int slots(UpstreamState upstream) {
        return Math.max(1, upstream.entry.slots());
    }

    private int reportedRequests(UpstreamState upstream) {
        boolean fresh = upstream.load != null && upstream.loadAtMillis >= context.now() - LOAD_VALIDITY_MILLIS;
        return fresh ? upstream.load.running() + upstream.load.waiting() : 0;
    }

    private long newsAgeMillis() {
        return PeerGossip.newsAgeMillis(storeReplica.memberCount());
    }

    private ServiceAdmission admission(String service) {
        return admissionByService.computeIfAbsent(service, name -> new ServiceAdmission());
    }
}
