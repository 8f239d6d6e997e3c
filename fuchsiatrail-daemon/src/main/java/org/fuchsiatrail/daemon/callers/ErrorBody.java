package org.fuchsiatrail.daemon.callers;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.fuchsiatrail.ResultCode;

/**
 * The JSON body of every refused request.
 *
 * @param error the details of the error
 */
public record ErrorBody(Error error) {

    /**
     * The details of an error.
     *
     * @param code the number of the result code
     * @param type the name of the result code
     * @param message what went wrong
     * @param advice what the caller can do
     * @param mayHaveRun whether the request may have run
     * @param retryAfterMillis the time to wait before a retry, in milliseconds; 0 when a retry does not help
     */
    public record Error(
            int code,
            String type,
            String message,
            String advice,
            @JsonProperty("may_have_run") boolean mayHaveRun,
            @JsonProperty("retry_after_ms") long retryAfterMillis) {}

    /**
     * Creates the body for a result code.
     *
     * @param code the result code
     * @param detail a sentence to add to the message, or an empty string
     * @param retryAfterMillis the time to wait before a retry, in milliseconds; 0 when a retry does not help
     * @return the body
     */
    public static ErrorBody of(ResultCode code, String detail, long retryAfterMillis) {
        String message = detail.isEmpty() ? code.meaning() : code.meaning() + " " + detail;
        return new ErrorBody(
                new Error(code.number(), code.name(), message, code.advice(), code.mayHaveRun(), retryAfterMillis));
    }
}
