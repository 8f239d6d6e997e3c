package org.fuchsiatrail;

import java.util.Objects;

/** A request of an operator to a router. */
public sealed interface OperatorRequest {

    /**
     * Compares an intent with the configuration in force.
     *
     * @param intent the new intent
     */
    record Plan(Intent intent) implements OperatorRequest {

        /** Rejects a missing intent. */
        public Plan {
            Objects.requireNonNull(intent, "intent");
        }
    }

    /**
     * Puts a plan in force.
     *
     * @param planId the id of the plan
     * @param intent the intent that was planned
     */
    record Confirm(String planId, Intent intent) implements OperatorRequest {

        /** Rejects a missing plan id or intent. */
        public Confirm {
            Objects.requireNonNull(planId, "planId");
            Objects.requireNonNull(intent, "intent");
        }
    }

    /** Shows the configuration in force. */
    record Show() implements OperatorRequest {}

    /** Shows the state of routers and engines, and the revision that each router has. */
    record Status() implements OperatorRequest {}

    /**
     * Stops sending new work to an upstream at once, on every reachable router.
     *
     * @param upstream the upstream
     */
    record Drain(UpstreamId upstream) implements OperatorRequest {}

    /**
     * Explains on which engine a request would be placed, and why.
     *
     * @param customer the customer
     * @param call the call
     */
    record Explain(CustomerId customer, ChatCall call) implements OperatorRequest {}
}
