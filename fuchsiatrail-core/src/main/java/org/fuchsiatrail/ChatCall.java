package org.fuchsiatrail;

/**
 * A caller's request for a generated answer.
 *
 * @param model the requested model: a name, or {@code name@weights}
 * @param adapter the requested adapter, or an empty string
 * @param scope the requested shared cache scope, or an empty string for the customer's own scope
 * @param prompt the whole prompt
 * @param maximumTokens the maximum number of tokens to generate
 * @param deadlineMillis the longest time to the first token that the caller accepts, in milliseconds from receipt
 * @param priority the priority, from 0 (most urgent) to 9
 * @param resumeToken the event id after which an interrupted stream resumes, or an empty string
 * @param traceparent the W3C trace context to propagate to upstreams, or an empty string
 */
public record ChatCall(
        String model,
        String adapter,
        String scope,
        String prompt,
        int maximumTokens,
        long deadlineMillis,
        int priority,
        String resumeToken,
        String traceparent) {}
