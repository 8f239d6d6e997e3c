package org.fuchsiatrail.daemon.callers;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.fuchsiatrail.ResultCode;

/**
 * The body of every refusal.
 *
 * @param error the error
 */
public record ErrorBody(Error error) {

    /**
     * An error.
     *
     * @param code the result code's number
     * @param type the result code's name
     * @param message what happened
     * @param advice what to do next
     * @param mayHaveRun whether the request may have run
     * @param retryAfterMillis when to come back, 0 when that does not help
     */
    public record Error(
            int code,
            String type,
            String message,
            String advice,
            @JsonProperty("may_have_run") boolean mayHaveRun,
            @JsonProperty("retry_after_ms") long retryAfterMillis) {}

    /**
     * Makes the body of a result code.
     *
     * @param code the code
     * @param detail one sentence more, or an empty text
     * @param retryAfterMillis when to come back
     * @return the body
     */
    public static ErrorBody of(ResultCode code, String detail, long retryAfterMillis) {
        String message = detail.isEmpty() ? code.meaning() : code.meaning() + " " + detail;
        return new ErrorBody(
                new Error(code.number(), code.name(), message, code.advice(), code.mayHaveRun(), retryAfterMillis));
    }
}
