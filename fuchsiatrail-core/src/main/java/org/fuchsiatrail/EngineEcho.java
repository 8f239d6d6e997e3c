package org.fuchsiatrail;

/**
 * The identifiers that an engine echoes in each event, so that a router can detect events of another request, customer,
 * incarnation or model version.
 *
 * @param request the request the event belongs to
 * @param customer the customer the event belongs to
 * @param incarnation the incarnation of the engine that generated the event
 * @param model the model and weights that generated the event
 */
public record EngineEcho(RequestId request, CustomerId customer, long incarnation, ModelVersion model) {}
