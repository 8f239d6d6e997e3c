package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;

/** What follows from the answer of another router to a request that was relayed to it and that no upstream answered. */
sealed interface RouterRefusal {

    /**
     * The request has not run there and is sent another way.
     *
     * @param failure why the router is avoided for a while, if it is
     * @param notSent whether the request was sent to no upstream
     */
    record TryAnotherWay(Optional<String> failure, boolean notSent) implements RouterRefusal {}

    /**
     * The only attempt that the router was allowed is lost.
     *
     * @param upstream the upstream to which it was sent
     */
    record AttemptLost(UpstreamId upstream) implements RouterRefusal {}

    /**
     * The answer does not tell whether the request has run.
     *
     * @param reason why not
     */
    record Lost(String reason) implements RouterRefusal {}

    /** The request has not run there, but may have run before. */
    record OutcomeUnknown() implements RouterRefusal {}

    /**
     * The refusal goes to the caller.
     *
     * @param notRun whether it promises that the request has not run
     */
    record PassOn(boolean notRun) implements RouterRefusal {}

    /** Decides what follows from the head of an answer without a valid signature of an upstream. */
    static RouterRefusal decide(AttemptEvent.Head head, boolean streamBegun, boolean mayHaveRun) {
        if (head.lostAt().isPresent()) {
            return new AttemptLost(head.lostAt().get());
        }
        boolean notRun = RelayRouters.NOT_RUN_STATUSES.contains(head.status());
        if (RelayRouters.OTHER_CONFIGURATION_STATUSES.contains(head.status())) {
            return new TryAnotherWay(Optional.of("the router has another configuration in force"), true);
        }
        if (head.withoutPath()) {
            return new TryAnotherWay(Optional.of("the router reaches no upstream or is about to stop"), true);
        }
        if (streamBegun && notRun) {
            return new TryAnotherWay(Optional.empty(), head.notSent());
        }
        if (head.status() < RelayRouters.FIRST_ERROR_STATUS || streamBegun) {
            return new Lost("relayed answer is no stream or lacks a valid signature");
        }
        return mayHaveRun && notRun ? new OutcomeUnknown() : new PassOn(notRun);
    }
}
