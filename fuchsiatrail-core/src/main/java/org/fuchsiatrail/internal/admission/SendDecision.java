package org.fuchsiatrail.internal.admission;

import org.fuchsiatrail.ResultCode;

/** What becomes of a request that has no attempt in flight. */
public sealed interface SendDecision {

    /** The request is sent now. */
    record Send() implements SendDecision {}

    /**
     * The request waits in the router.
     *
     * @param untilMillis when it is looked at again
     */
    record Wait(long untilMillis) implements SendDecision {}

    /**
     * The request is refused as not executed.
     *
     * @param code the result
     * @param retryAfterMillis when the caller may come back at the earliest, in milliseconds from now
     * @param reason the reason, for the log
     */
    record Refuse(ResultCode code, long retryAfterMillis, String reason) implements SendDecision {}
}
