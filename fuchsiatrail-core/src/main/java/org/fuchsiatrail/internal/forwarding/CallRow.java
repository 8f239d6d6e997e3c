package org.fuchsiatrail.internal.forwarding;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.Route;

/** A caller's request without a final answer. */
final class CallRow {

    /** How far a request has come. */
    enum State {
        /** Waits for an upstream; it is on none. */
        WAITING,
        /** Is on an upstream, and nothing of an answer was passed on. */
        SENT,
        /** Its stream is being passed on. */
        DELIVERING,
        /** Has its final answer. */
        OVER
    }

    final RequestId request;
    final ForwardedCall call;
    final Route route;
    final Optional<CustomerEntry> customer;
    final String service;
    final long arrivedAtMillis;
    final long deadlineAtMillis;
    final Set<UpstreamId> excluded = new HashSet<>();
    State state = State.WAITING;
    AttemptId attempt;
    UpstreamState upstream;
    UpstreamPlacement.Placement choice;
    /** When the present attempt is given up, if the request may be repeated. */
    long patienceAtMillis = Long.MAX_VALUE;
    /** When it is looked at next. */
    long nextLookAtMillis = Long.MAX_VALUE;
    /** Until when it waits for an upstream. */
    long waitUntilMillis;
    /** Attempts that were sent, whether or not they ran. */
    int sends;
    /** Attempts that may have run. */
    int runs;

    String lastEvent;

    CallRow(
            RequestId request,
            ForwardedCall call,
            Route route,
            Optional<CustomerEntry> customer,
            String service,
            long arrivedAtMillis) {
        this.request = request;
        this.call = call;
        this.route = route;
        this.customer = customer;
        this.service = service;
        this.arrivedAtMillis = arrivedAtMillis;
        this.deadlineAtMillis = arrivedAtMillis + Math.min(call.deadlineMillis(), route.timeoutMillis());
        this.lastEvent = call.resumeAfter();
    }

    boolean mayHaveRun() {
        return runs > 0;
    }

    /** Tells whether the request may be sent again although it may have run. */
    boolean mayRepeat() {
        return route.retryable() && runs < route.maximumAttempts();
    }

    int priority() {
        return customer.map(CustomerEntry::priority)
                .filter(priority -> priority.isPresent())
                .map(priority -> priority.getAsInt())
                .orElse(route.priority());
    }
}
