package org.fuchsiatrail;

/**
 * What a router asks an engine to run.
 *
 * @param request the request, echoed by the engine in every event
 * @param customer the customer, echoed by the engine in every event
 * @param model the model and weights that must run; the engine refuses any other
 * @param adapter the adapter, or an empty text
 * @param cacheSalt the seed of all cache keys of this prompt, hexadecimal
 * @param expectedIncarnation the engine incarnation that the router chose, or 0 for any
 * @param prompt the whole prompt
 * @param resumeFrom the position of the first token to send
 * @param maximumTokens the most tokens of the whole answer
 * @param priority 0 is the most urgent
 * @param traceparent the W3C trace context, or an empty text
 */
public record EngineCall(
        RequestId request,
        CustomerId customer,
        ModelVersion model,
        String adapter,
        String cacheSalt,
        long expectedIncarnation,
        String prompt,
        long resumeFrom,
        int maximumTokens,
        int priority,
        String traceparent) {}
