package org.fuchsiatrail;

/**
 * A caller's request for a generated answer.
 *
 * @param model the model asked for: a name, or {@code name@weights}
 * @param adapter the adapter asked for, or an empty text
 * @param scope the shared cache scope asked for, or an empty text for the customer's own
 * @param prompt the whole prompt
 * @param maximumTokens the most tokens to generate
 * @param deadlineMillis the time to the first token the caller still accepts, in milliseconds from arrival
 * @param priority 0 is the most urgent, 9 the least
 * @param resumeToken the event id after which an interrupted stream goes on, or an empty text
 * @param traceparent the W3C trace context to hand to upstreams, or an empty text
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
