package org.fuchsiatrail;

import java.util.Objects;

/** What an operator asks of a router. */
public sealed interface OperatorRequest {

    /**
     * Compares an intent with the configuration in force.
     *
     * @param intent what is wanted
     */
    record Plan(Intent intent) implements OperatorRequest {

        /** Refuses a missing intent. */
        public Plan {
            Objects.requireNonNull(intent, "intent");
        }
    }

    /**
     * Puts a plan in force.
     *
     * @param planId the id that the plan carried
     * @param intent the intent that was planned
     */
    record Confirm(String planId, Intent intent) implements OperatorRequest {

        /** Refuses missing parts. */
        public Confirm {
            Objects.requireNonNull(planId, "planId");
            Objects.requireNonNull(intent, "intent");
        }
    }

    /** Shows the configuration in force. */
    record Show() implements OperatorRequest {}

    /** Shows routers, engines and who has which revision. */
    record Status() implements OperatorRequest {}

    /**
     * Stops new work to an upstream at once, on every router that can be reached.
     *
     * @param upstream the upstream
     */
    record Drain(UpstreamId upstream) implements OperatorRequest {}

    /**
     * Tells where a request would go, and why.
     *
     * @param customer the customer
     * @param call the call
     */
    record Explain(CustomerId customer, ChatCall call) implements OperatorRequest {}
}
