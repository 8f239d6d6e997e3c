package org.fuchsiatrail.forwarding;

import java.util.Map;

/** An engine's reply to an order or to a state query. */
public sealed interface OrderReply {

    /** The engine accepted the order and is executing it. */
    record Accepted() implements OrderReply {}

    /** The engine already has the state that the order requests. */
    record AlreadyApplied() implements OrderReply {}

    /** Another order is in progress, or the engine's count of accepted orders differs from the expected count. */
    record Busy() implements OrderReply {}

    /**
     * The engine refused the order or did not respond.
     *
     * @param reason the refusal or the error
     */
    record Failed(String reason) implements OrderReply {}

    /**
     * No connection to the engine could be made: it has ended, or there is no path to it.
     *
     * @param reason the error
     * @param refused whether the machine of the engine refused the connection, so that no process listens there
     */
    record NotConnected(String reason, boolean refused) implements OrderReply {}

    /**
     * The engine's state, which is some hundred milliseconds old.
     *
     * @param busy whether an order is in progress
     * @param orders the number of orders that the engine accepted in this incarnation
     * @param weights the loaded version of the weights of each model
     */
    record State(boolean busy, long orders, Map<String, Long> weights) implements OrderReply {}
}
