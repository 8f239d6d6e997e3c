package org.fuchsiatrail.internal.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.RequestId;

/** The accepted requests that have no final answer, and their attempts in flight. */
final class CallTable {

    private final ForwardingContext context;
    private final Map<RequestId, PendingCall> callsByRequest = new LinkedHashMap<>();
    private final Map<AttemptId, PendingCall> callsByAttempt = new HashMap<>();
    private long nextAttemptNumber = 1;

    CallTable(ForwardingContext context) {
        this.context = context;
    }

    void add(PendingCall pending) {
        callsByRequest.put(pending.request, pending);
    }

    Optional<PendingCall> find(RequestId request) {
        return Optional.ofNullable(callsByRequest.get(request));
    }

    /** Finds the request whose attempt in flight this is. */
    Optional<PendingCall> find(AttemptId attempt) {
        return Optional.ofNullable(callsByAttempt.get(attempt));
    }

    /** All requests without a final answer. */
    Collection<PendingCall> pending() {
        return callsByRequest.values();
    }

    /** All requests with an attempt in flight. */
    Collection<PendingCall> sent() {
        return new LinkedHashSet<>(callsByAttempt.values());
    }

    boolean hasAttemptInFlight(PendingCall pending) {
        return callsByAttempt.containsKey(pending.attempt);
    }

    /** Begins an attempt of a request at its upstream, under a new id. */
    void beginAttempt(PendingCall pending) {
        pending.attempt = new AttemptId(context.settings().self().id() + "-" + nextAttemptNumber++);
        callsByAttempt.put(pending.attempt, pending);
        pending.upstream.inFlight.put(pending.attempt, new UpstreamState.InFlightAttempt(pending, context.now()));
    }

    /** Ends the attempt in flight; returns whether its upstream now runs no non-resumable request of this router. */
    boolean releaseAttempt(PendingCall pending) {
        pending.attemptTimeoutAtMillis = Long.MAX_VALUE;
        callsByAttempt.remove(pending.attempt);
        UpstreamState.InFlightAttempt released = pending.upstream.inFlight.remove(pending.attempt);
        return released != null && released.nonResumable && pending.upstream.ownNonResumableRequests() == 0;
    }

    /** Ends the held attempt of a request. */
    void releaseHeld(PendingCall pending) {
        pending.held.ifPresent(held -> {
            callsByAttempt.remove(held.attempt());
            held.upstream().inFlight.remove(held.attempt());
        });
    }

    void remove(PendingCall pending) {
        callsByRequest.remove(pending.request);
    }

    int size() {
        return callsByRequest.size();
    }
}
