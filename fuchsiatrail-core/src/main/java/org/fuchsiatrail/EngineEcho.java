package org.fuchsiatrail;

/**
 * What an engine repeats in each event, so that a router can tell whose answer it is and what made it.
 *
 * @param request the request the event belongs to
 * @param customer the customer the event belongs to
 * @param incarnation the incarnation of the engine that made the event
 * @param model the model and weights that made the event
 */
public record EngineEcho(RequestId request, CustomerId customer, long incarnation, ModelVersion model) {}
