package org.fuchsiatrail;

/**
 * A request that a router sends to an engine.
 *
 * @param request the request id, echoed by the engine in every event
 * @param customer the customer, echoed by the engine in every event
 * @param model the model and weights that must run; an engine with others refuses the request
 * @param adapter the adapter, or an empty string
 * @param cacheSalt the salt of all cache keys of this prompt, hexadecimal
 * @param expectedIncarnation the engine incarnation that the router selected, or 0 for any
 * @param prompt the whole prompt
 * @param resumeFrom the position of the first token to send
 * @param maximumTokens the maximum number of tokens in the whole answer
 * @param priority 0 is the most urgent
 * @param traceparent the W3C trace context, or an empty string
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
