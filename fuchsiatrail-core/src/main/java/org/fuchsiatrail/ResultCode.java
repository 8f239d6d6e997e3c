package org.fuchsiatrail;

/** The numbered result codes that callers and operators receive; docs/RESULT-CODES.md contains the same table. */
public enum ResultCode {
    /** The body, a header or a field is invalid. */
    INVALID_REQUEST(1001, 400, false, "The request is malformed.", "Correct the request; do not repeat it unchanged."),
    /** The API key is missing or wrong. */
    UNAUTHORIZED(1002, 401, false, "The API key is missing or wrong.", "Send Authorization: Bearer with a valid key."),
    /** The body or a header is too large. */
    TOO_LARGE(1003, 413, false, "The request is larger than the limit.", "Send a smaller body or fewer headers."),
    /** The path or the method is unknown. */
    NOT_FOUND(1004, 404, false, "There is nothing at this path.", "Check the path and the method."),
    /** The customer may not use this model. */
    MODEL_NOT_ALLOWED(1005, 403, false, "No intent lets this customer use the model.", "Ask an operator."),
    /** The customer may not use this cache scope. */
    SCOPE_NOT_ALLOWED(1006, 403, false, "No intent lets this customer use the scope.", "Ask an operator."),
    /** The service is not configured. */
    SERVICE_UNKNOWN(1007, 404, false, "No intent names this service.", "Check the service name."),
    /** A call that is not idempotent has no idempotency key. */
    IDEMPOTENCY_KEY_MISSING(
            1008, 400, false, "This call must not be repeated and has no Idempotency-Key.", "Send an Idempotency-Key."),
    /** The idempotency key was used before with a different request. */
    IDEMPOTENCY_KEY_REUSED(
            1009, 422, false, "The Idempotency-Key was used with another request.", "Use a new key for a new request."),
    /** The resume token belongs to a different request. */
    RESUME_TOKEN_INVALID(1010, 400, false, "Last-Event-ID does not belong to this request.", "Start the stream anew."),
    /** The upstreams are overloaded. */
    OVERLOADED(2001, 429, false, "The request cannot be served in time.", "Ask again after Retry-After."),
    /** No upstream for the request can be reached. */
    NO_UPSTREAM(2002, 503, false, "No upstream for the request can be reached.", "Ask again after Retry-After."),
    /** The router is shutting down gracefully. */
    STOPPING(2003, 503, false, "This router is stopping.", "Ask again at once; another router will serve."),
    /** The deadline passed before the request was dispatched. */
    DEADLINE_PASSED(2004, 504, false, "The deadline passed before the call was sent.", "Ask again after Retry-After."),
    /** The ledger cannot be reached. */
    LEDGER_UNAVAILABLE(
            2005,
            503,
            false,
            "The ledger of calls that must not be repeated is unreachable; the call did not run.",
            "Ask again with the same key after Retry-After."),
    /** No configuration is in force yet. */
    NOT_CONFIGURED(2006, 503, false, "No configuration is in force yet.", "Ask again after Retry-After."),
    /** The stream cannot go on, because its software version is unknown or no upstream has it. */
    STREAM_NOT_RESUMABLE(
            2007,
            503,
            false,
            "No upstream of the software version that began the stream is known.",
            "Ask again after Retry-After, or start the stream anew."),
    /**
     * This router cannot run a request that was relayed to it: it reaches no upstream of the service, or would stop
     * before the deadline of the request.
     */
    WITHOUT_PATH(
            2008,
            503,
            false,
            "This router reaches no upstream of the service, or is about to stop.",
            "Ask another router, or again after Retry-After."),
    /** An exception ended the handling of the request before it was sent to any upstream. */
    NOT_HANDLED(
            2009,
            503,
            false,
            "The router could not handle the request and sent it to no upstream.",
            "Ask again after Retry-After."),
    /** The customer's requests exceed its limit over all routers. */
    OVER_LIMIT(
            2010,
            429,
            false,
            "The requests of this customer exceed its limit.",
            "Ask again after Retry-After, or send fewer requests."),
    /** A call with the same idempotency key is running. */
    STILL_RUNNING(
            3001, 409, true, "A call with this key is running.", "Ask again with the same key after Retry-After."),
    /** The call was sent, and it is unknown whether it ran. */
    OUTCOME_UNKNOWN(3002, 502, true, "The call was sent and its outcome is unknown.", "Check with the service itself."),
    /** Upstreams failed while they ran the request, and no further attempt is allowed. */
    UPSTREAM_FAILED(3003, 502, true, "Upstreams failed while they ran the request.", "Ask again after Retry-After."),
    /** The request is quarantined because engines crashed while they ran it. */
    QUARANTINED(3004, 422, true, "Engines crashed while they ran this request.", "Do not repeat it; tell an operator."),
    /** The upstream did not respond in time. */
    TIMED_OUT(3005, 504, true, "The request was sent and not answered in time.", "Ask again only if it may run twice."),
    /** The only attempt that another router allows for the request it relayed was lost; that router may try again. */
    ATTEMPT_LOST(
            3006,
            502,
            true,
            "An upstream lost the request, which another router relayed and may send again.",
            "Ask again only if it may run twice."),
    /** The operator token is missing or wrong. */
    OPERATOR_UNAUTHORIZED(4001, 401, false, "The operator token is missing or wrong.", "Send a valid operator token."),
    /** The intent is invalid. */
    INTENT_INVALID(4002, 422, false, "The intent has faults.", "Correct each fault and plan again."),
    /** The plan is unknown or based on an older revision. */
    PLAN_OUTDATED(4003, 409, false, "The configuration changed since the plan was made.", "Plan again and read it."),
    /** The platform's store did not respond. */
    STORE_UNAVAILABLE(
            4004,
            503,
            true,
            "The platform's store did not answer; the change may have taken effect.",
            "Run intent show, then confirm the same plan again; it takes effect once."),
    /** The plan is confirmed, but some routers have not reported the revision. */
    NOT_YET_EVERYWHERE(4005, 202, true, "Some routers have not reported the revision.", "Run status until none lags.");

    private final int number;
    private final int httpStatus;
    private final boolean mayHaveRun;
    private final String meaning;
    private final String advice;

    ResultCode(int number, int httpStatus, boolean mayHaveRun, String meaning, String advice) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.mayHaveRun = mayHaveRun;
        this.meaning = meaning;
        this.advice = advice;
    }

    /**
     * Returns the number of the code in logs and answers.
     *
     * @return four digits
     */
    public int number() {
        return number;
    }

    /**
     * Returns the HTTP status of an answer with this code.
     *
     * @return an HTTP status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns whether the request may have run.
     *
     * @return false only when the request is known not to have run
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns a description of what happened.
     *
     * @return one sentence
     */
    public String meaning() {
        return meaning;
    }

    /**
     * Returns the recommended next step.
     *
     * @return one sentence
     */
    public String advice() {
        return advice;
    }
}
