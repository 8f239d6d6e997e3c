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

/** A row of the service table: the state of one call to a service until its final answer. */
final class ServiceRow {

    /** The processing state of a call. */
    enum State {
        /** Waiting for the ledger's verdict on the claim, or not yet sent. */
        CLAIMING,
        /** Sent to an upstream. */
        SENT,
        /** Answered, refused, or released because the caller disconnected. */
        FINISHED
    }

    final RequestId request;
    final CustomerId customer;
    final ServiceCall call;
    final long deadlineAtMillis;
    final boolean retryable;
    final Set<UpstreamId> excluded = new HashSet<>();
    State state = State.CLAIMING;
    LedgerClaim claim;
    AttemptId attempt;
    UpstreamRow upstream;
    int attempts;
    boolean mayHaveRun;
    boolean callerDisconnected;

    ServiceRow(RequestId request, CustomerId customer, ServiceCall call, long deadlineAtMillis, boolean retryable) {
        this.request = request;
        this.customer = customer;
        this.call = call;
        this.deadlineAtMillis = deadlineAtMillis;
        this.retryable = retryable;
    }
}
