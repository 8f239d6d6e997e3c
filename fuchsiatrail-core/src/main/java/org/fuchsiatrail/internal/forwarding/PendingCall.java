package org.fuchsiatrail.internal.forwarding;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.ForwardedCall;
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

    /** Upstreams that are not tried again for this request. */
    final Set<UpstreamId> excludedUpstreams = new HashSet<>();

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
    /** Attempts that may have been executed. */
    int possibleExecutions;

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
        return route.retryable() && possibleExecutions < route.maximumAttempts() && !isWithoutResumePosition();
    }

    /** Returns whether another attempt may replace the current one although that may have been executed. */
    boolean mayBeReplaced() {
        return mayRetry() && possibleExecutions + 1 < route.maximumAttempts();
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
