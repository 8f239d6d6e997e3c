package org.fuchsiatrail.forwarding;

import java.util.Map;

/** How an engine answered an order or a question for its state. */
public sealed interface OrderReply {

    /** The order is being carried out. */
    record Accepted() implements OrderReply {}

    /** The order holds already. */
    record AlreadyApplied() implements OrderReply {}

    /** Another order is in progress, or the engine's count of orders differs. */
    record Busy() implements OrderReply {}

    /**
     * The engine refused the order or did not answer.
     *
     * @param reason what happened
     */
    record Failed(String reason) implements OrderReply {}

    /**
     * The engine's state, as of some hundred milliseconds ago.
     *
     * @param busy whether an order is in progress
     * @param orders the orders it has accepted in this life
     * @param weights the version of each model
     */
    record State(boolean busy, long orders, Map<String, Long> weights) implements OrderReply {}
}
