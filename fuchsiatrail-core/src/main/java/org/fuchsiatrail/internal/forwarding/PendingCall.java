package org.fuchsiatrail.internal.forwarding;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.RelayAllowance;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;

/** An accepted request that has no final answer yet. */
final class PendingCall {

    /** The progress of a request. */
    enum State {
        /** Waits for a usable upstream; no attempt is in flight. */
        WAITING,
        /** An attempt is in flight and nothing of its answer has been passed on. */
        SENT,
        /** The stream of the current attempt is being passed on. */
        DELIVERING,
        /** The final answer was passed on, or the caller disconnected. */
        FINISHED
    }

    final RequestId request;
    final ForwardedCall call;
    final Route route;
    final Optional<CustomerEntry> customer;
    String service;
    final long receivedAtMillis;
    final long deadlineAtMillis;
    /** Identifies equal requests of one customer, whichever of its keys they carry. */
    final long fingerprint;

    /** Identify the parts of the prompt that other requests may share, in order. */
    final long[] sharedPartKeys;

    /** The amount for which the request counts towards its customer's limit. */
    final long chargedAmount;

    /** Attempts of the caller's request that may still have been executed when this router received it. */
    final int attemptsLeft;

    /** The attempts of this router that may be executed; a single one of a relayed request. */
    final int maximumExecutions;

    /** Upstreams that are not tried again for this request. */
    final Set<UpstreamId> excludedUpstreams = new HashSet<>();

    /** Upstreams that may have executed the request, in vain. */
    final Set<UpstreamId> triedUpstreams = new LinkedHashSet<>();

    /** Routers that broke a stream of this request off and are used again only when there is no other one. */
    final Set<UpstreamId> avoidedRouters = new HashSet<>();

    State state = State.WAITING;
    AttemptId attempt;
    UpstreamState upstream;
    /** The incarnation of the upstream to which the current attempt was sent. */
    UpstreamId incarnation;

    UpstreamPlacement.Placement placement;
    /** When the current attempt is abandoned, if the request may be retried. */
    long attemptTimeoutAtMillis = Long.MAX_VALUE;
    /** When the earliest scheduled timer is due. */
    long timerAtMillis = Long.MAX_VALUE;
    /** Until when the request may wait for a usable upstream. */
    long placementDeadlineMillis;
    /** Attempts that were sent, whether or not they were executed. */
    int sends;
    /** Attempts that may have been executed, also by other routers to which the request was relayed. */
    int possibleExecutions;
    /** How many executions the current attempt may lead to; more than one at a router of an older build. */
    int executionsAtRisk = 1;
    /** Whether an attempt of this router may have reached an upstream, whether or not it was executed. */
    boolean mayHaveArrived;
    /** Whether the request counts towards the retry budget of this router. */
    boolean counted;
    /** Whether the last relayed attempt took a retry from the budget. */
    boolean relayTookRetry;

    /** How the previous attempt ended, or an empty string before the first one. */
    String previousOutcome = "";

    /** Whether part of a stream was passed on, after which only further events or its end may follow. */
    boolean streamBegun;

    /** The id of the last event that the caller has, or an empty string. */
    String lastEventId;

    /** Whether an event that was passed on has an id. */
    private boolean eventIdPassedOn;

    /** Whether the current attempt goes to another router. */
    boolean relayed;
    /** The upstream that answered the current attempt at another router, if that router named it. */
    Optional<UpstreamId> ranAt = Optional.empty();
    /** Routers that refused the request because they reach no upstream either. */
    int relayRefusals;
    /** Attempts that could not be sent because no connection was established. */
    int unsentAttempts;
    /** The software version of the upstream of the current attempt. */
    String attemptVersion;
    /** The software version that began the stream; only upstreams of this version may continue it. */
    Optional<String> streamVersion = Optional.empty();
    /** The version at which the stream begins, as version shares tell; only upstreams of this version may begin it. */
    Optional<String> assignedVersion = Optional.empty();
    /** Whether other routers were told the version of the stream, so that it must not begin at another one. */
    boolean reportedOpen;
    /** The silent attempt that stays in flight until the current one has begun, if there is one. */
    Optional<HeldAttempt> held = Optional.empty();
    /** The attempt whose silence was recorded as a failure of its upstream, or null after an event. */
    AttemptId silentAttempt;
    /** When the current attempt's first and last events were received, in milliseconds; equal before the first. */
    long firstEventAtMillis;

    long lastEventAtMillis;
    /** Why the current attempt was kept although it is silent, or an empty string. */
    String keptReason = "";
    /** Whether the path to all upstreams is probably lost, as all of them were silent for long. */
    boolean pathLost;
    /** Whether the paths of this router to the upstreams, and to other routers, were lost at the last look. */
    boolean upstreamsLost;

    boolean routersLost;
    /** Whether the attempt was given up for a place at another upstream that responds. */
    boolean placeFound;

    PendingCall(
            RequestId request,
            ForwardedCall call,
            Route route,
            Optional<CustomerEntry> customer,
            String service,
            long receivedAtMillis,
            long chargedAmount) {
        this.request = request;
        this.call = call;
        this.route = route;
        this.customer = customer;
        this.service = service;
        this.receivedAtMillis = receivedAtMillis;
        this.chargedAmount = chargedAmount;
        this.deadlineAtMillis = receivedAtMillis + Math.min(call.deadlineMillis(), route.timeoutMillis());
        this.attemptsLeft = Math.min(
                route.maximumAttempts(),
                call.relay().map(RelayAllowance::attemptsLeft).orElse(Integer.MAX_VALUE));
        this.maximumExecutions = call.relayed() ? Math.min(1, attemptsLeft) : attemptsLeft;
        call.relay().ifPresent(allowance -> excludedUpstreams.addAll(allowance.triedUpstreams()));
        this.fingerprint = fingerprint(call, customer);
        this.sharedPartKeys = call.sharedParts().stream()
                .mapToLong(part -> PromptChain.key("", call.model(), part.id()))
                .toArray();
        this.lastEventId = call.resumeAfterEventId();
    }

    private static long fingerprint(ForwardedCall call, Optional<CustomerEntry> customer) {
        String owner = customer.map(entry -> entry.id().value()).orElse("");
        return call.fingerprint() ^ Hashing.xxh3_64().hashCharsToLong(owner);
    }

    /** Whether the stream goes on after events that an upstream of unknown software version sent. */
    boolean needsOrigin() {
        return streamVersion.isEmpty() && (call.resumesStream() || !lastEventId.isEmpty());
    }

    /** The software version of the upstreams that may run the request, or empty if any may. */
    Optional<String> requiredVersion() {
        return streamVersion.or(() -> assignedVersion);
    }

    boolean mayHaveRun() {
        return possibleExecutions > 0;
    }

    /** Returns whether the request may be sent again although an earlier attempt may have been executed. */
    boolean mayRetry() {
        return route.retryable() && possibleExecutions < maximumExecutions && !isWithoutResumePosition();
    }

    /** Returns whether another attempt may replace the current one although that may have been executed. */
    boolean mayBeReplaced() {
        // The router that relayed a request replaces its attempts itself, and learns of silence once events have begun.
        return call.relayed()
                ? route.retryable() && !streamBegun && possibleExecutions + executionsAtRisk < attemptsLeft
                : mayRetry() && possibleExecutions + executionsAtRisk < maximumExecutions;
    }

    /** Records that the current attempt may have been executed. */
    void recordExecution() {
        possibleExecutions += executionsAtRisk;
        mayHaveArrived = true;
        UpstreamId tried = answeredBy();
        if (!RelayRouters.isRouter(tried)) {
            triedUpstreams.add(tried);
        }
    }

    /** Returns the upstream that is not tried again after it answered; a router that names none is not used again. */
    UpstreamId answeredBy() {
        return relayed ? ranAt.orElse(upstream.id()) : upstream.id();
    }

    /** Records that another router lost the attempt at an upstream, which is not tried again. */
    void recordLossAtRouter(UpstreamId lostAt) {
        ranAt = Optional.of(lostAt);
        recordExecution();
        previousOutcome = "lost at another router";
    }

    /** Returns whether the request counts towards the retry budget of this router rather than of the relaying one. */
    boolean isCountedHere() {
        return call.relay()
                .map(allowance -> allowance.told() && !allowance.repeated())
                .orElse(true);
    }

    /** Returns whether no attempt that may be executed is left. */
    boolean isExhausted() {
        return possibleExecutions > 0 && possibleExecutions >= maximumExecutions;
    }

    /** Returns whether the router that relayed the request may send it again after this attempt. */
    boolean mayBeSentAgainByRouter() {
        return call.relayed() && route.retryable() && (!isAllowanceTold() || possibleExecutions < attemptsLeft);
    }

    /**
     * Returns whether a refusal ends the connection instead: a router of an older build takes that for a lost attempt,
     * and any refusal for the last word.
     */
    boolean endsWithConnection(ResultCode code) {
        return code == ResultCode.ATTEMPT_LOST && !isAllowanceTold();
    }

    private boolean isAllowanceTold() {
        return call.relay().map(RelayAllowance::told).orElse(false);
    }

    /** What a router is allowed to which the request is relayed now. */
    RelayAllowance relayAllowance() {
        return new RelayAllowance(true, attemptsLeft - possibleExecutions, mayHaveArrived, List.copyOf(triedUpstreams));
    }

    /** Returns whether the caller may send the request again after an attempt of unknown outcome. */
    boolean mayBeAskedAgain() {
        return route.kind() != RequestKind.NOT_IDEMPOTENT;
    }

    /** Returns whether events were passed on of which none has an id, so that no upstream can continue after them. */
    private boolean isWithoutResumePosition() {
        return streamBegun && !eventIdPassedOn;
    }

    /** Records the id of an event that was passed on, or an empty string if it has none. */
    void recordEventId(String eventId) {
        if (!eventId.isEmpty()) {
            lastEventId = eventId;
            eventIdPassedOn = true;
        }
    }

    int priority() {
        return customer.map(CustomerEntry::priority)
                .filter(priority -> priority.isPresent())
                .map(priority -> priority.getAsInt())
                .orElse(route.priority());
    }
}
