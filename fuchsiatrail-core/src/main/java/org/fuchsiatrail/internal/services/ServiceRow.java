package org.fuchsiatrail.internal.services;

import java.util.HashSet;
import java.util.Set;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;

/** A row of the service table: one call to a plain service until its final answer. */
final class ServiceRow {

    /** Where a call stands. */
    enum State {
        /** Waits for the ledger. */
        CLAIMING,
        /** Was sent to an upstream. */
        SENT,
        /** Has its final answer. */
        OVER
    }

    final RequestId request;
    final CustomerId customer;
    final ServiceCall call;
    final long deadlineAtMillis;
    final boolean repeatable;
    final Set<UpstreamId> excluded = new HashSet<>();
    State state = State.CLAIMING;
    LedgerClaim claim;
    AttemptId attempt;
    UpstreamRow upstream;
    int attempts;
    boolean mayHaveRun;
    boolean callerGone;

    ServiceRow(RequestId request, CustomerId customer, ServiceCall call, long deadlineAtMillis, boolean repeatable) {
        this.request = request;
        this.customer = customer;
        this.call = call;
        this.deadlineAtMillis = deadlineAtMillis;
        this.repeatable = repeatable;
    }
}
